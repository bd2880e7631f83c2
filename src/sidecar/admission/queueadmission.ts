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

const PACE_EVERY_MS = 500;
/** Within this time a request that made room is offered again, if at all. */
const AGAIN_WITHIN_MS = 1000;

const DETAILS = {
  'deadline-unmeetable': 'The deadline cannot be met behind the work that waits here.',
  'queue-full': 'As many requests wait here as may.',
  'model-absent': 'The model is not in memory here and will not be in time.',
} as const;

/** What the engine is told of a kind's priority. */
const ENGINE_PRIORITY: Readonly<Record<Kind['priority'], number>> = {
  urgent: 2,
  normal: 1,
  background: 0,
};

type Place = Result<Slot, Refusal>;

/** A request between its offer and its end. */
interface Held {
  readonly head: RequestHead;
  readonly offeredAtMs: Ms;
  readonly settle: (place: Place) => void;
  readonly preempted: AbortController;
}

/** Parts that admission is built from. */
interface QueueAdmissionOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly residency: Residency;
  readonly policy: AdmissionPolicy;
}

/** Carries the request path's calls into the admission core, and its decisions out. */
export class QueueAdmission implements Admission {
  private readonly state: AdmissionState;

  private readonly held = new Map<string, Held>();

  /** Requests that made room and will be offered again. */
  private readonly madeRoom = new Set<string>();

  private readonly pace = new PaceMeter();

  private readonly models: ModelWatch;

  private pacedAtMs: Ms;

  private cancelWake: (() => void) | undefined;

  private count = 0;

  constructor(private readonly options: QueueAdmissionOptions) {
    this.state = startAdmission(options.policy);
    this.pacedAtMs = options.clock.nowMs();
    this.models = new ModelWatch(options.residency, options.clock, (event) => this.tell(event));
  }

  /** Takes a changed document into use: what waits and runs goes on under it. */
  configure(policy: AdmissionPolicy): void {
    this.tell({ type: 'configured', policy });
  }

  stop(): void {
    this.cancelWake?.();
    this.models.stop();
  }

  offer(requestId: string, head: RequestHead, gone: AbortSignal): Promise<Place> {
    if (gone.aborted) {
      return Promise.resolve(result.Err(refuse('cancelled', 'The caller has gone.')));
    }
    this.models.look(head.model);
    this.count += 1;
    const key = `${requestId}#${this.count}`;
    const resumed = this.madeRoom.delete(requestId) || head.continuation !== undefined;
    return new Promise((resolve) => {
      const leave = () => this.abandon(key);
      const settle = (place: Place) => {
        gone.removeEventListener('abort', leave);
        resolve(place);
      };
      gone.addEventListener('abort', leave, { once: true });
      const offeredAtMs = this.options.clock.nowMs();
      this.held.set(key, { head, offeredAtMs, settle, preempted: new AbortController() });
      this.tell({ type: 'offered', offer: this.offerOf(key, head, resumed) });
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

  private tell(event: AdmissionEvent): void {
    const nowMs = this.options.clock.nowMs();
    for (const effect of admission(this.state, event, nowMs).effects) this.act(effect, nowMs);
  }

  private act(effect: AdmissionEffect, nowMs: Ms): void {
    if (effect.type === 'wake') {
      this.cancelWake?.();
      this.cancelWake = this.options.clock.after(effect.atMs - nowMs, () =>
        this.tell({ type: 'ticked' }),
      );
      return;
    }
    const held = this.held.get(effect.requestId);
    if (!held) return;
    if (effect.type === 'start') this.start(effect.requestId, held, nowMs);
    else if (effect.type === 'refuse') this.refuse(effect, held);
    else this.preempt(held);
  }

  private start(key: string, held: Held, nowMs: Ms): void {
    this.options.metrics.histogram('admission.wait_ms', nowMs - held.offeredAtMs, {
      kind: held.head.kind,
    });
    this.gauge();
    held.settle(result.Ok(this.slot(key, held)));
  }

  private refuse(effect: Extract<AdmissionEffect, { type: 'refuse' }>, held: Held): void {
    const { requestId, failure, retryAfterMs } = effect;
    this.held.delete(requestId);
    this.options.metrics.count('admission.refused', 1, { reason: failure });
    const refusal = refuse(failure, DETAILS[failure], { retryAfterMs });
    held.settle(result.Err({ ...refusal, load: this.load() }));
  }

  private preempt(held: Held): void {
    this.options.metrics.count('admission.preempted');
    held.preempted.abort();
  }

  private abandon(key: string): void {
    const held = this.held.get(key);
    this.held.delete(key);
    this.tell({ type: 'abandoned', requestId: key });
    held?.settle(result.Err(refuse('cancelled', 'The caller has gone.')));
  }

  private slot(key: string, { head, preempted }: Held): Slot {
    let tokens = 0;
    let open = true;
    const kind = this.state.kinds.get(head.kind);
    return {
      preempted: preempted.signal,
      priority: ENGINE_PRIORITY[kind?.priority ?? 'normal'],
      progress: (tokenCount) => {
        if (tokens === 0) this.tell({ type: 'answering', requestId: key });
        tokens += tokenCount;
        this.progress(key, tokenCount);
      },
      release: (outcome) => {
        if (!open) return;
        open = false;
        this.held.delete(key);
        this.pace.end(key);
        if (outcome === 'preempted') this.remember(key.slice(0, key.lastIndexOf('#')));
        this.tell({ type: 'released', requestId: key, outcome, tokenCount: tokens });
      },
    };
  }

  /** It is offered again at once, or never. */
  private remember(requestId: string): void {
    this.madeRoom.add(requestId);
    this.options.clock.after(AGAIN_WITHIN_MS, () => this.madeRoom.delete(requestId));
  }

  private progress(key: string, tokenCount: number): void {
    const nowMs = this.options.clock.nowMs();
    this.pace.progress(key, tokenCount, nowMs);
    if (nowMs - this.pacedAtMs < PACE_EVERY_MS) return;
    this.pacedAtMs = nowMs;
    this.tell({ type: 'paced', ...this.pace.take() });
    this.gauge();
  }

  private gauge(): void {
    const { running, queued, slots } = this.load();
    this.options.metrics.gauge('admission.running', running);
    this.options.metrics.gauge('admission.queued', queued);
    this.options.metrics.gauge('admission.limit', slots);
  }
}
