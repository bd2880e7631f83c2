import type { Result } from 'ts-results';
import { result, type Clock, type Ms } from '../../base/index.js';
import {
  admission,
  startAdmission,
  reportLoad,
  type AdmissionEffect,
  type AdmissionEvent,
  type AdmissionPolicy,
  type AdmissionState,
} from '../../core/admission/index.js';
import type { Kind } from '../../core/document/index.js';
import { refuse } from '../../core/refusal/index.js';
import type { Metrics } from '../../port/index.js';
import type { Refusal, RequestHead, UpstreamLoad } from '../../wire/index.js';
import type { Admission, Residency, Slot } from '../part/index.js';
import { ModelWatch } from './modelwatch.js';
import { PaceMeter } from './pacemeter.js';

const PACE_INTERVAL_MS = 500;
/** A pre-empted request is offered again within this time, or never. */
const REOFFER_WINDOW_MS = 1000;

const DETAILS = {
  'deadline-unmeetable': 'The deadline cannot be met behind the requests that are queued here.',
  'queue-full': 'The queue of this upstream is full.',
  'model-absent': 'The model is not loaded here and will not be loaded before the deadline.',
} as const;

/** Priority at the engine for each priority of a request kind. */
const ENGINE_PRIORITY: Readonly<Record<Kind['priority'], number>> = {
  urgent: 2,
  normal: 1,
  background: 0,
};

/** Outcome of an offer: a slot, or a refusal. */
type Place = Result<Slot, Refusal>;

/** A request that was offered and has not ended yet: queued or running. */
interface ActiveRequest {
  readonly head: RequestHead;
  readonly offeredAtMs: Ms;
  readonly settle: (place: Place) => void;
  readonly preempted: AbortController;
}

/** Dependencies and initial policy of the admission. */
interface QueueAdmissionOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly residency: Residency;
  readonly policy: AdmissionPolicy;
}

/** Shell of the admission core: turns calls of the request path into events, and effects into actions. */
export class QueueAdmission implements Admission {
  private readonly state: AdmissionState;

  private readonly held = new Map<string, ActiveRequest>();

  /** Pre-empted requests that are expected to be offered again. */
  private readonly preemptedIds = new Set<string>();

  private readonly pace = new PaceMeter();

  private readonly models: ModelWatch;

  private pacedAtMs: Ms;

  private cancelWake: (() => void) | undefined;

  private count = 0;

  constructor(private readonly options: QueueAdmissionOptions) {
    this.state = startAdmission(options.policy);
    this.pacedAtMs = options.clock.nowMs();
    this.models = new ModelWatch(options.residency, options.clock, (event) => this.step(event));
  }

  /** Applies a changed document. It also holds for requests that are queued or running. */
  configure(policy: AdmissionPolicy): void {
    this.step({ type: 'configured', policy });
  }

  stop(): void {
    this.cancelWake?.();
    this.models.stop();
  }

  offer(requestId: string, head: RequestHead, gone: AbortSignal): Promise<Place> {
    if (gone.aborted) {
      return Promise.resolve(result.Err(refuse('cancelled', 'The caller has gone.')));
    }
    this.models.checkModel(head.model);
    this.count += 1;
    const key = `${requestId}#${this.count}`;
    const resumed = this.preemptedIds.delete(requestId) || head.continuation !== undefined;
    return new Promise((resolve) => {
      const leave = () => this.abandon(key);
      const settle = (place: Place) => {
        gone.removeEventListener('abort', leave);
        resolve(place);
      };
      gone.addEventListener('abort', leave, { once: true });
      const offeredAtMs = this.options.clock.nowMs();
      this.held.set(key, { head, offeredAtMs, settle, preempted: new AbortController() });
      this.step({ type: 'offered', offer: this.offerOf(key, head, resumed) });
    });
  }

  load(): UpstreamLoad {
    return reportLoad(this.state);
  }

  private offerOf(key: string, head: RequestHead, resumed: boolean) {
    return {
      requestId: key,
      customer: head.customer,
      kind: head.kind,
      model: head.model,
      promptTokens: head.promptTokens,
      maxTokens: head.maxTokens,
      remainingMs: head.deadlineMs,
      resumed,
    };
  }

  private step(event: AdmissionEvent): void {
    const nowMs = this.options.clock.nowMs();
    for (const effect of admission(this.state, event, nowMs).effects) this.act(effect, nowMs);
  }

  private act(effect: AdmissionEffect, nowMs: Ms): void {
    if (effect.type === 'wake') {
      this.cancelWake?.();
      this.cancelWake = this.options.clock.after(effect.atMs - nowMs, () =>
        this.step({ type: 'ticked' }),
      );
      return;
    }
    const held = this.held.get(effect.requestId);
    if (!held) return;
    if (effect.type === 'start') this.start(effect.requestId, held, nowMs);
    else if (effect.type === 'refuse') this.refuse(effect, held);
    else this.preempt(held);
  }

  private start(key: string, held: ActiveRequest, nowMs: Ms): void {
    this.options.metrics.histogram('admission.wait_ms', nowMs - held.offeredAtMs, {
      kind: held.head.kind,
    });
    this.gauge();
    held.settle(result.Ok(this.slot(key, held)));
  }

  private refuse(effect: Extract<AdmissionEffect, { type: 'refuse' }>, held: ActiveRequest): void {
    const { requestId, failure, retryAfterMs } = effect;
    this.held.delete(requestId);
    this.options.metrics.count('admission.refused', 1, { reason: failure });
    const refusal = refuse(failure, DETAILS[failure], { retryAfterMs });
    held.settle(result.Err({ ...refusal, load: this.load() }));
  }

  private preempt(held: ActiveRequest): void {
    this.options.metrics.count('admission.preempted');
    held.preempted.abort();
  }

  private abandon(key: string): void {
    const held = this.held.get(key);
    this.held.delete(key);
    this.step({ type: 'abandoned', requestId: key });
    held?.settle(result.Err(refuse('cancelled', 'The caller has gone.')));
  }

  private slot(key: string, { head, preempted }: ActiveRequest): Slot {
    let tokens = 0;
    let open = true;
    const kind = this.state.kinds.get(head.kind);
    return {
      preempted: preempted.signal,
      priority: ENGINE_PRIORITY[kind?.priority ?? 'normal'],
      progress: (tokenCount) => {
        if (tokens === 0) this.step({ type: 'answering', requestId: key });
        tokens += tokenCount;
        this.progress(key, tokenCount);
      },
      release: (outcome) => {
        if (!open) return;
        open = false;
        this.held.delete(key);
        this.pace.end(key);
        if (outcome === 'preempted') this.awaitReoffer(key.slice(0, key.lastIndexOf('#')));
        this.step({ type: 'released', requestId: key, outcome, tokenCount: tokens });
      },
    };
  }

  /** Recognises the next offer of a pre-empted request as a resumption. */
  private awaitReoffer(requestId: string): void {
    this.preemptedIds.add(requestId);
    this.options.clock.after(REOFFER_WINDOW_MS, () => this.preemptedIds.delete(requestId));
  }

  private progress(key: string, tokenCount: number): void {
    const nowMs = this.options.clock.nowMs();
    this.pace.progress(key, tokenCount, nowMs);
    if (nowMs - this.pacedAtMs < PACE_INTERVAL_MS) return;
    this.pacedAtMs = nowMs;
    this.step({ type: 'paced', ...this.pace.take() });
    this.gauge();
  }

  private gauge(): void {
    const { running, queued, slots } = this.load();
    this.options.metrics.gauge('admission.running', running);
    this.options.metrics.gauge('admission.queued', queued);
    this.options.metrics.gauge('admission.limit', slots);
  }
}
