import { result, type Ms } from '../base/index.js';
import {
  finalRefusal,
  startAttempt,
  stepAttempt,
  type AttemptEffect,
  type AttemptEvent,
  type AttemptState,
} from '../core/attempt/index.js';
import { refuse } from '../core/refusal/index.js';
import {
  Executed,
  type AnswerEnd,
  type AnswerStart,
  type Continuation,
  type Refusal,
} from '../wire/index.js';
import type { CallerAnswer } from './answer/index.js';
import { ContinuationBuffer } from './continuationbuffer.js';
import type { EntryContext } from './entrycontext.js';
import type { SentAttempt } from './link/index.js';
import type { Binding, Choice, Outcome, RouteRequest } from './component/index.js';
import type { InFlightRequest } from './inflightrequest.js';
import { FlowControl } from './flowcontrol.js';
import { FrameReader } from './framereader.js';
import type { PreparedRequest } from './preparedrequest.js';
import { RequestMeter } from './requestmeter.js';

type Effect<Type> = Extract<AttemptEffect, { type: Type }>;

const FIRST_NON_SUCCESS_STATUS = 300;
const DONE_EVENT = Buffer.from('data: [DONE]\n\n');
const UNKNOWN = { executed: Executed.EXECUTED_UNKNOWN };

/** Runs one request through its attempts: performs the effects of the attempt core and reports events to it. */
export class RequestRun implements InFlightRequest {
  private state!: AttemptState;

  private reader: FrameReader | undefined;

  private choice: Choice | undefined;

  private routeRequest: RouteRequest | undefined;

  private sentAttempt: SentAttempt | undefined;

  private readonly flowControl: FlowControl;

  private closed = false;

  private readonly meter: RequestMeter;

  private readonly continuationBuffer: ContinuationBuffer;

  private cancelDeadline = () => {};

  private settle: (end: string) => void = () => {};

  private readonly handlers: {
    readonly [Type in AttemptEffect['type']]: (effect: Effect<Type>) => void;
  } = {
    choose: (effect) => this.chooseLater(effect),
    ask: (effect) => this.ask(effect),
    cancel: () => this.cancel(),
    finish: () => this.finish(),
    fail: ({ refusals }) => this.fail(refusals),
  };

  constructor(
    private readonly context: EntryContext,
    private readonly prepared: PreparedRequest,
    private readonly answer: CallerAnswer,
  ) {
    this.flowControl = new FlowControl(answer, context.clock);
    this.meter = new RequestMeter(context.clock.nowMs());
    const { streaming, model } = prepared.head;
    const isContinuable = streaming && model !== '';
    this.continuationBuffer = new ContinuationBuffer(
      isContinuable ? context.limits.continuationBytes : undefined,
    );
  }

  /** Resolves with how the request ended, once the caller has been sent the complete answer or a refusal. */
  run(): Promise<string> {
    const { prepared, context } = this;
    const nowMs = context.clock.nowMs();
    const waitMs = prepared.deadlineAtMs - nowMs;
    this.cancelDeadline = context.clock.after(waitMs, () => this.deadline());
    return new Promise((resolve) => {
      this.settle = resolve;
      const bound = prepared.binding.type === 'bound';
      const { repeatable } = prepared.head;
      const { deadlineAtMs } = prepared;
      const change = startAttempt({ repeatable, bound, deadlineAtMs }, nowMs);
      this.state = change.state;
      this.perform(change.effects);
    });
  }

  /** Ends the request because its caller has disconnected. */
  gone(): void {
    this.step({ type: 'gone' });
    this.close('gone');
  }

  /** Ends the request now with the given refusal. */
  expire(refusal: Refusal): void {
    this.step({ type: 'expired', refusal });
  }

  /** Checks for stalls: disconnects a caller that has stalled, and ends an attempt whose upstream has stalled. */
  checkStall(nowMs: Ms): void {
    const { limits } = this.context;
    const { blockedSinceMs } = this.flowControl;
    if (blockedSinceMs !== undefined) {
      if (nowMs - blockedSinceMs > limits.callerStallMs) this.answer.disconnect();
      return;
    }
    const lastActiveAtMs = Math.max(
      this.reader?.lastFrameAtMs ?? nowMs,
      this.flowControl.freeSinceMs,
    );
    if (this.state.phase === 'answering' && nowMs - lastActiveAtMs > limits.stallMs) {
      this.abandon(refuse('answer-stalled', 'The upstream stopped sending its answer.', UNKNOWN));
    }
    const lateAtMs = this.prepared.deadlineAtMs + limits.lateAnswerMs;
    // Bytes that bring a caller nothing, of an event without end for example, do not prolong the wait.
    const isWaiting = !this.answer.hasSent && this.state.phase !== 'choosing';
    if (isWaiting && nowMs > lateAtMs) {
      this.expire(refuse('answer-stalled', 'No answer came.', UNKNOWN));
    }
  }

  private step(event: AttemptEvent): void {
    // A held answer is also passed on when other answers need its memory.
    if (this.answer.hasSent && !this.state.passed && event.type !== 'passed') {
      this.step({ type: 'passed' });
    }
    const { state, effects } = stepAttempt(this.state, event, this.context.clock.nowMs());
    this.state = state;
    // What is held of a failed attempt must not be passed on.
    if (state.phase === 'choosing' && !this.answer.hasSent) this.answer.discard();
    this.perform(effects);
  }

  private perform(effects: readonly AttemptEffect[]): void {
    for (const effect of effects) {
      const act = this.handlers[effect.type] as (effect: AttemptEffect) => void;
      act(effect);
    }
  }

  private deadline(): void {
    if (this.state.phase !== 'choosing') return;
    this.expire(refuse('deadline-passed', 'The deadline passed before an upstream was available.'));
  }

  private chooseLater(effect: Effect<'choose'>): void {
    if (effect.afterMs > 0) this.context.clock.after(effect.afterMs, () => this.choose(effect));
    else this.choose(effect);
  }

  private choose({ tried, remainingMs }: Effect<'choose'>): void {
    if (this.state.phase !== 'choosing') return;

    const { binding, requestId, target, head } = this.prepared;
    const { prefixHash } = head;
    const { again } = this.state;
    this.routeRequest = { requestId, target, prefixHash, remainingMs, tried, again };
    if (binding.type === 'bound') {
      this.chooseBound(binding);
      return;
    }
    void this.context.router.choose(this.routeRequest).then((choice) => {
      if (choice.ok) this.onChosen(choice.val);
      else this.step({ type: 'unchosen', refusal: choice.val });
    });
  }

  /** The ticket's table may have been handed to another sidecar since the last attempt. */
  private chooseBound({ ticket, choice }: Extract<Binding, { type: 'bound' }>): void {
    const { context, prepared, state } = this;
    const place =
      state.attempt === 0
        ? result.Ok(choice)
        : context.tickets.locate(ticket, prepared.target.service);
    if (place.ok) this.onChosen(place.val);
    else this.step({ type: 'unchosen', refusal: place.val });
  }

  private onChosen(choice: Choice): void {
    this.choice = choice;
    // The caller may have left while the router waited. The router counts the choice as load until this outcome.
    if (this.state.phase !== 'choosing') this.recordOutcome('cancelled', {});
    this.step({ type: 'chosen', upstream: choice.upstream });
  }

  private ask({ attempt, continued, remainingMs }: Effect<'ask'>): void {
    const { requestId, head, binding } = this.prepared;
    const { sidecarAddress, incarnation } = this.choice!;
    const ticket = binding.type === 'bound' ? binding.ticket : '';
    const continuation = continued ? this.continuation() : undefined;
    this.reader = this.read(attempt);
    this.meter.attemptSent(this.reader.lastFrameAtMs);
    const attemptHead = { ...head, deadlineMs: remainingMs, ticket, incarnation, continuation };
    this.sentAttempt = this.context.link.ask(
      sidecarAddress,
      requestId,
      attempt,
      attemptHead,
      this.reader,
    );
    this.flowControl.start(this.sentAttempt);
  }

  private read(attempt: number): FrameReader {
    return new FrameReader(this.prepared.requestId, attempt, this.context, {
      started: (start) => this.onStart(start),
      data: (payload) => this.data(payload),
      ended: (end) => this.end(end),
      refused: (refusal) => this.onRefused(refusal),
      gap: (refusal) => this.abandon(refusal),
      lost: (unsent, detail) => this.lost(unsent, detail),
    });
  }

  private continuation(): Continuation | undefined {
    this.context.metrics.count('answer.continued');
    return this.continuationBuffer.startContinuation();
  }

  private onStart({ status, headers }: AnswerStart): void {
    if (this.answer.hasSent && status >= FIRST_NON_SUCCESS_STATUS) {
      const detail = `The upstream answered ${status} to the continuation of a stream.`;
      this.abandon(refuse('upstream-refused', detail, UNKNOWN));
      return;
    }
    this.answer.start(status, headers);
    this.step({ type: 'started' });
  }

  private data(payload: Buffer): void {
    this.meter.tokenReceived(this.context.clock.nowMs());
    const isFree = this.answer.data(this.continuationBuffer.forward(payload));
    if (!this.state.passed && this.answer.hasSent) this.step({ type: 'passed' });
    this.flowControl.frameWritten(payload, isFree);
  }

  private end({ failure, load, candidates }: AnswerEnd): void {
    if (failure) {
      const refusal = refuse(failure, 'The upstream ended the answer before it was complete.', {
        ...UNKNOWN,
        candidates,
      });
      this.onBroken({ ...refusal, load }, 'broken');
      return;
    }
    this.recordOutcome('answered', { load });
    this.sentAttempt?.done();
    this.step({ type: 'whole' });
  }

  private onRefused(refusal: Refusal): void {
    this.recordOutcome('refused', { refusal, load: refusal.load });
    this.sentAttempt?.done();
    this.step({ type: 'refused', refusal });
  }

  private onBroken(refusal: Refusal, type: 'broken' | 'unreachable'): void {
    this.recordOutcome(type, { refusal, load: refusal.load });
    this.sentAttempt?.done();
    if (this.state.passed && this.continuationBuffer.isFinished()) {
      this.answer.data(DONE_EVENT);
      this.step({ type: 'whole' });
      return;
    }
    const continuable = this.continuationBuffer.canContinue();
    this.step({ type: 'broken', refusal, continuable });
  }

  /** Cancels the current attempt, because its answer cannot become complete any more. */
  private abandon(refusal: Refusal): void {
    this.sentAttempt?.cancel(refusal.detail);
    this.onBroken(refusal, 'broken');
  }

  private lost(unsent: boolean, detail: string): void {
    // An earlier send with the same ticket may have run: only the ticket table can rule that out.
    const options = unsent && this.prepared.binding.type === 'free' ? {} : UNKNOWN;
    const refusal = refuse(unsent ? 'sidecar-unreachable' : 'sidecar-lost', detail, options);
    this.onBroken(refusal, unsent ? 'unreachable' : 'broken');
  }

  private recordOutcome(type: Outcome['type'], more: Pick<Outcome, 'load' | 'refusal'>): void {
    if (!this.choice || !this.routeRequest) return;
    const { upstream } = this.choice;
    const { routeRequest } = this;
    const firstTokenMs = this.meter.attemptFirstTokenMs();
    this.context.router.recordOutcome({
      upstream,
      request: routeRequest,
      type,
      firstTokenMs,
      ...more,
    });
  }

  private cancel(): void {
    this.sentAttempt?.cancel('The entry does not need the answer any more.');
    this.recordOutcome('cancelled', {});
  }

  private finish(): void {
    this.answer.end();
    this.close('answered');
  }

  private fail(refusals: readonly Refusal[]): void {
    const bound = this.prepared.binding.type === 'bound';
    const refusal = bound ? this.context.tickets.finalRefusal(refusals) : finalRefusal(refusals);
    this.answer.fail(refusal);
    this.close(refusal.type);
  }

  private close(end: string): void {
    if (this.closed) return;
    this.closed = true;
    this.answer.discard();
    this.cancelDeadline();
    this.context.router.release(this.prepared.target.service, this.prepared.requestId);
    const { metrics, clock, log } = this.context;
    log.info('request', { requestId: this.prepared.requestId, end });
    this.meter.report(metrics, end, clock.nowMs());
    this.settle(end);
  }
}
