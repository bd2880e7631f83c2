import type { Result } from 'ts-results';
import {
  result,
  type AdapterId,
  type Executed as ExecutedWord,
  type ModelId,
  type RequestId,
} from '../base/index.js';
import type { Session } from '../core/handover/index.js';
import { refuse } from '../core/refusal/index.js';
import type { EngineFailure } from '../port/index.js';
import { Executed, type Refusal, type RequestHead } from '../wire/index.js';
import type { Outlet } from './outlet.js';
import type { Permit, Slot } from './part/index.js';
import { Recorder } from './recorder.js';
import { replay } from './replay.js';
import { whenAborted } from './whenaborted.js';
import type { WorkContext } from './workcontext.js';

type RecordEnd = Extract<Permit, { type: 'run' }>['record'];

/** How often one answer is taken up again at the engine that broke it off. */
const RESUME_LIMIT = 2;

const EXECUTED: Readonly<Record<ExecutedWord, Executed>> = {
  no: Executed.EXECUTED_NO,
  unknown: Executed.EXECUTED_UNKNOWN,
  yes: Executed.EXECUTED_YES,
};

/** One request at this sidecar: admission, the upstream's answer, and its typed end. */
export class Work {
  private readonly halt = new AbortController();

  private haltRefusal = refuse('cancelled', 'The caller has gone.');

  private readonly recorder: Recorder;

  /** Upstreams that are to go on with what a stop has cut off. */
  private places: Promise<readonly string[]> | undefined;

  private started = false;

  private tokenCount = 0;

  private dataCount = 0;

  private resumeToken: string | undefined;

  private resumes = 0;

  /** True once an earlier call to the upstream may have begun to run. */
  private sent = false;

  constructor(
    private readonly context: WorkContext,
    readonly requestId: string,
    private readonly head: RequestHead,
    private readonly outlet: Outlet,
  ) {
    this.recorder = new Recorder(head);
    // A ticket's run goes on without its caller, who may come back for the answer.
    if (head.ticket) return;
    if (outlet.gone.aborted) this.halt.abort();
    else outlet.gone.addEventListener('abort', () => this.halt.abort(), { once: true });
  }

  /** Runs to the typed end of the answer. */
  async run(): Promise<void> {
    const permit = await this.context.parts.runOnce.begin(this.requestId, this.head);
    if (permit.err) {
      this.refuse(permit.val);
      return;
    }
    if (permit.val.type === 'replay') {
      await replay(permit.val.answer, this.outlet);
      return;
    }
    const { start, record } = permit.val;
    const refusal = await this.admit(start).catch((thrown: unknown) => {
      // A part that throws must not leave its ticket running, with repeats that wait for ever.
      record({ type: 'unknown' });
      throw thrown;
    });
    await this.conclude(refusal, record);
  }

  /** What another engine could go on from, if this is a stream that may run there too. */
  session(): Session | undefined {
    const { head, requestId, tokenCount } = this;
    const { model, adapter, repeatable, streaming, ticket, promptTokens } = head;
    if (!repeatable || !streaming || ticket || !model || tokenCount === 0) return undefined;
    return {
      requestId: requestId as RequestId,
      model: model as ModelId,
      adapter: adapter ? (adapter as AdapterId) : undefined,
      tokenCount: promptTokens + (head.continuation?.tokenCount ?? 0) + tokenCount,
    };
  }

  /**
   * Stops the run now, with this refusal if it has not begun to answer. An answer that has begun ends once
   * it is known which upstreams can go on from it best.
   */
  expire(refusal: Refusal, places?: Promise<readonly string[]>): void {
    this.haltRefusal = refusal;
    this.places = places;
    this.halt.abort();
  }

  private async conclude(refusal: Refusal | undefined, record: RecordEnd): Promise<void> {
    if (!refusal) {
      record({ type: 'answered', answer: this.recorder.answer() });
      this.end('');
      return;
    }
    const unrun = refusal.executed === Executed.EXECUTED_NO && !this.started;
    record({ type: unrun ? 'none' : 'unknown' });
    if (this.started) this.end(refusal.type, await this.places);
    else this.refuse(refusal);
  }

  private async admit(start: () => Refusal | undefined): Promise<Refusal | undefined> {
    const slot = await this.offer();
    if (slot.err) return slot.val;
    const { model, adapter } = this.head;
    const unpin = this.context.parts.residency.pin(model, adapter);
    if (unpin.err) {
      slot.val.release('cancelled');
      return unpin.val;
    }
    try {
      const late = start();
      if (late) slot.val.release('cancelled');
      return late ?? (await this.runLegs(slot.val));
    } finally {
      unpin.val();
    }
  }

  /** Waits for a slot, no longer than until the deadline. */
  private async offer(): Promise<Result<Slot, Refusal>> {
    const late = new AbortController();
    const { signal } = this.halt;
    const forget = this.context.clock.after(this.head.deadlineMs, () => late.abort());
    const either = AbortSignal.any([signal, late.signal]);
    const offered = this.context.parts.admission.offer(this.requestId, this.head, either);
    const slot = await Promise.race([offered, whenAborted(either)]);
    forget();
    if (slot && !either.aborted) return slot;
    void offered.then((given) => given.ok && given.val.release('cancelled'));
    if (signal.aborted) return result.Err(this.haltRefusal);
    if (slot?.err) return slot;
    return result.Err(refuse('deadline-passed', 'The deadline passed while it waited.'));
  }

  /** Calls the upstream, and again after a cut or a pre-emption. Undefined when the answer is whole. */
  private async runLegs(first: Slot): Promise<Refusal | undefined> {
    let slot = first;
    for (;;) {
      const failure = await this.leg(slot);
      if (!failure) {
        slot.release('answered');
        return undefined;
      }
      if (this.halt.signal.aborted) {
        slot.release('cancelled');
        return { ...this.haltRefusal, executed: Executed.EXECUTED_UNKNOWN };
      }
      if (slot.preempted.aborted) {
        slot.release('preempted');
        if (this.started && this.resumeToken === undefined) return this.refusalOf(failure);
        this.sent ||= failure.executed !== 'no';
        const next = await this.offer();
        if (next.err) return { ...next.val, executed: Executed.EXECUTED_UNKNOWN };
        slot = next.val;
      } else if (!this.mayResume(failure)) {
        slot.release('broken');
        return this.refusalOf(failure);
      }
    }
  }

  private mayResume(failure: EngineFailure): boolean {
    this.resumes += 1;
    if (this.resumeToken === undefined || this.resumes > RESUME_LIMIT) return false;
    this.context.metrics.count('answer.resumed');
    return failure.type === 'upstream-cut';
  }

  /** One call to the upstream, passed on as it arrives. Undefined when it came to its end. */
  private async leg(slot: Slot): Promise<EngineFailure | undefined> {
    const signal = AbortSignal.any([this.halt.signal, slot.preempted]);
    const { requestId, head, resumeToken } = this;
    const priority = slot.priority ?? 0;
    const stream = await this.context.call({ requestId, head, priority, resumeToken }, signal);
    if (stream.err) return stream.val;
    const { status, headers, pieces } = stream.val;
    if (!this.started) this.start(status, headers);
    signal.addEventListener('abort', () => this.outlet.wake(), { once: true });
    for await (const piece of pieces) {
      if (piece.err) return piece.val;
      const { payload, tokenCount } = piece.val;
      this.resumeToken = piece.val.resumeToken ?? this.resumeToken;
      this.dataCount += 1;
      this.tokenCount += tokenCount;
      this.recorder.data(payload);
      this.outlet.send({ $case: 'data', value: { payload, tokenCount } });
      slot.progress(tokenCount);
      await this.outlet.ready();
    }
    return undefined;
  }

  private start(status: number, headers: readonly { name: string; value: string }[]): void {
    this.started = true;
    this.recorder.start(status, headers);
    this.outlet.send({ $case: 'start', value: { status, headers } });
  }

  /** A later call that was never sent says nothing of an earlier one. */
  private refusalOf({ type, detail, executed }: EngineFailure): Refusal {
    const known = this.sent ? Executed.EXECUTED_UNKNOWN : EXECUTED[executed];
    return refuse(type, detail, { executed: known });
  }

  private refuse(refusal: Refusal): void {
    const load = refusal.load ?? this.context.parts.admission.load();
    this.outlet.send({ $case: 'refusal', value: { ...refusal, load } });
    this.told(refusal.type);
  }

  private end(failure: string, places: readonly string[] = []): void {
    const { dataCount } = this;
    const load = this.context.parts.admission.load();
    const resumeToken = this.resumeToken ?? '';
    const value = { dataCount, failure, load, resumeToken, candidates: [...places] };
    this.outlet.send({ $case: 'end', value });
    this.told(failure || 'answered');
  }

  private told(end: string): void {
    const { requestId, tokenCount } = this;
    this.context.metrics.count('request', 1, { end });
    if (tokenCount > 0) this.context.metrics.count('tokens', tokenCount);
    this.context.log.info('request', { requestId, end, tokenCount });
  }
}
