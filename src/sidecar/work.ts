import type { Result } from 'ts-results';
import {
  result,
  type AdapterId,
  type Executed as ExecutedState,
  type ModelId,
  type RequestId,
} from '../base/index.js';
import type { Session } from '../core/handover/index.js';
import { refuse } from '../core/refusal/index.js';
import type { EngineFailure } from '../port/index.js';
import { Executed, type Refusal, type RequestHead } from '../wire/index.js';
import type { AnswerSink } from './answersink.js';
import type { Permit, Slot } from './part/index.js';
import { AnswerRecorder } from './answerrecorder.js';
import { replay } from './replay.js';
import { whenAborted } from './whenaborted.js';
import type { WorkContext } from './workcontext.js';

type RecordOutcome = Extract<Permit, { type: 'run' }>['record'];

/** How often one answer is resumed at the engine that broke it off. */
const RESUME_LIMIT = 2;

const EXECUTED: Readonly<Record<ExecutedState, Executed>> = {
  no: Executed.EXECUTED_NO,
  unknown: Executed.EXECUTED_UNKNOWN,
  yes: Executed.EXECUTED_YES,
};

const FIRST_NON_SUCCESS_STATUS = 300;

const refusedContinuation: EngineFailure = {
  type: 'upstream-refused',
  detail: 'The upstream answered the continuation of a stream with a failure.',
  executed: 'unknown',
};

/** One request at this sidecar, from admission through the upstream's answer to its end or refusal. */
export class Work {
  private readonly abortController = new AbortController();

  private abortRefusal = refuse('cancelled', 'The caller has gone.');

  private readonly recorder: AnswerRecorder;

  /** Upstreams that can continue an answer that a stop has cut off. */
  private places: Promise<readonly string[]> | undefined;

  private started = false;

  private tokenCount = 0;

  private dataCount = 0;

  private resumeToken: string | undefined;

  private resumeCount = 0;

  /** True once an earlier call to the upstream may have begun to run. */
  private sent = false;

  constructor(
    private readonly context: WorkContext,
    readonly requestId: string,
    private readonly head: RequestHead,
    private readonly sink: AnswerSink,
  ) {
    this.recorder = new AnswerRecorder(head);
    // A request with a ticket continues without its caller, who may repeat it to get the answer.
    if (head.ticket) return;
    if (sink.gone.aborted) this.abortController.abort();
    else sink.gone.addEventListener('abort', () => this.abortController.abort(), { once: true });
  }

  /** Runs the request and sends its answer or refusal. */
  async run(): Promise<void> {
    const permit = await this.context.parts.runOnce.begin(this.requestId, this.head);
    if (permit.err) {
      this.refuse(permit.val);
      return;
    }
    if (permit.val.type === 'replay') {
      await replay(permit.val.answer, this.sink);
      return;
    }
    const { start, record } = permit.val;
    const refusal = await this.admitAndRun(start).catch((thrown: unknown) => {
      // If a part throws, its ticket must not stay in phase `running`: repeats would wait indefinitely.
      record({ type: 'unknown' });
      throw thrown;
    });
    await this.finish(refusal, record);
  }

  /** Returns what another engine needs to continue the stream; undefined if it may not be continued. */
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
   * Aborts the request, with this refusal if its answer has not begun. An answer that has begun ends when the
   * upstreams that can continue it best are known.
   */
  expire(refusal: Refusal, places?: Promise<readonly string[]>): void {
    this.abortRefusal = refusal;
    this.places = places;
    this.abortController.abort();
  }

  private async finish(refusal: Refusal | undefined, record: RecordOutcome): Promise<void> {
    if (!refusal) {
      record({ type: 'answered', answer: this.recorder.answer() });
      this.end('');
      return;
    }
    const hasNotRun = refusal.executed === Executed.EXECUTED_NO && !this.started;
    record({ type: hasNotRun ? 'none' : 'unknown' });
    if (this.started) this.end(refusal.type, await this.places);
    else this.refuse(refusal);
  }

  private async admitAndRun(start: () => Refusal | undefined): Promise<Refusal | undefined> {
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
      return late ?? (await this.callUntilEnd(slot.val));
    } finally {
      unpin.val();
    }
  }

  /** Waits for a slot until the deadline. */
  private async offer(): Promise<Result<Slot, Refusal>> {
    const late = new AbortController();
    const { signal } = this.abortController;
    const cancelDeadline = this.context.clock.after(this.head.deadlineMs, () => late.abort());
    const stopSignal = AbortSignal.any([signal, late.signal]);
    const offered = this.context.parts.admission.offer(this.requestId, this.head, stopSignal);
    const slot = await Promise.race([offered, whenAborted(stopSignal)]);
    cancelDeadline();
    if (slot && !stopSignal.aborted) return slot;
    void offered.then((given) => given.ok && given.val.release('cancelled'));
    if (signal.aborted) return result.Err(this.abortRefusal);
    if (slot?.err) return slot;
    return result.Err(
      refuse('deadline-passed', 'The deadline passed while the request was queued.'),
    );
  }

  /** Calls the upstream, again after a cut or a pre-emption. Returns undefined if the answer is complete. */
  private async callUntilEnd(first: Slot): Promise<Refusal | undefined> {
    let slot = first;
    for (;;) {
      const failure = await this.callOnce(slot);
      if (!failure) {
        slot.release('answered');
        return undefined;
      }
      if (this.abortController.signal.aborted) {
        slot.release('cancelled');
        return { ...this.abortRefusal, executed: Executed.EXECUTED_UNKNOWN };
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
    this.resumeCount += 1;
    if (this.resumeToken === undefined || this.resumeCount > RESUME_LIMIT) return false;
    this.context.metrics.count('answer.resumed');
    return failure.type === 'upstream-cut';
  }

  /** Calls the upstream once and forwards its answer as it arrives. Returns undefined if the answer is complete. */
  private async callOnce(slot: Slot): Promise<EngineFailure | undefined> {
    const signal = AbortSignal.any([this.abortController.signal, slot.preempted]);
    const { requestId, head, resumeToken } = this;
    const priority = slot.priority ?? 0;
    const stream = await this.context.call({ requestId, head, priority, resumeToken }, signal);
    if (stream.err) return stream.val;
    const { status, headers, pieces } = stream.val;
    if (!this.started) this.start(status, headers);
    else if (status >= FIRST_NON_SUCCESS_STATUS) return refusedContinuation;
    signal.addEventListener('abort', () => this.sink.wake(), { once: true });
    for await (const piece of pieces) {
      if (piece.err) return piece.val;
      const { payload, tokenCount } = piece.val;
      this.resumeToken = piece.val.resumeToken;
      this.dataCount += 1;
      this.tokenCount += tokenCount;
      this.recorder.data(payload);
      this.sink.send({ $case: 'data', value: { payload, tokenCount } });
      slot.progress(tokenCount);
      await this.sink.ready();
    }
    return undefined;
  }

  private start(status: number, headers: readonly { name: string; value: string }[]): void {
    this.started = true;
    this.recorder.start(status, headers);
    this.sink.send({ $case: 'start', value: { status, headers } });
  }

  /** If an earlier call may have run, the failure of a later one does not prove that the request did not run. */
  private refusalOf({ type, detail, executed }: EngineFailure): Refusal {
    const known = this.sent ? Executed.EXECUTED_UNKNOWN : EXECUTED[executed];
    return refuse(type, detail, { executed: known });
  }

  private refuse(refusal: Refusal): void {
    const load = refusal.load ?? this.context.parts.admission.load();
    this.sink.send({ $case: 'refusal', value: { ...refusal, load } });
    this.logEnd(refusal.type);
  }

  private end(failure: string, places: readonly string[] = []): void {
    const { dataCount } = this;
    const load = this.context.parts.admission.load();
    const resumeToken = this.resumeToken ?? '';
    const value = { dataCount, failure, load, resumeToken, candidates: [...places] };
    this.sink.send({ $case: 'end', value });
    this.logEnd(failure || 'answered');
  }

  private logEnd(end: string): void {
    const { requestId, tokenCount } = this;
    this.context.metrics.count('request', 1, { end });
    if (tokenCount > 0) this.context.metrics.count('tokens', tokenCount);
    this.context.log.info('request', { requestId, end, tokenCount });
  }
}
