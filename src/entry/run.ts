import { result, type Ms } from '../base/index.js';
import {
  conclude,
  startAttempt,
  stepAttempt,
  type AttemptEffect,
  type AttemptEvent,
  type AttemptState,
} from '../core/attempt/index.js';
import { HeldAnswer, continuedEvents } from '../core/continuation/index.js';
import { startSequence, stepSequence, type FrameEffect } from '../core/frame/index.js';
import { refuse } from '../core/refusal/index.js';
import { Executed, type Frame, type Refusal, type UpstreamLoad } from '../wire/index.js';
import type { CallerAnswer } from './answer/index.js';
import type { Desk } from './desk.js';
import type { Asked, Receiver } from './link/index.js';
import type { Binding, Choice, Outcome, Want } from './part/index.js';
import type { Live } from './live.js';
import { Pace } from './pace.js';
import type { RunAsk } from './runask.js';

type Body = NonNullable<Frame['body']>;
type Effect<Type> = Extract<AttemptEffect, { type: Type }>;

const DONE_EVENT = Buffer.from('data: [DONE]\n\n');
const UNKNOWN = { executed: Executed.EXECUTED_UNKNOWN };

/** Carries one request through its attempts: what the cores decide is done here. */
export class Run implements Live, Receiver {
  private state!: AttemptState;

  private sequence = startSequence('', 0);

  private choice: Choice | undefined;

  private want: Want | undefined;

  private asked: Asked | undefined;

  private readonly pace: Pace;

  private closed = false;

  private lastFrameMs: Ms;

  private readonly startedMs: Ms;

  private askedMs: Ms;

  private firstTokenMs: Ms | undefined;

  private attemptTokenMs: Ms | undefined;

  private readonly held: HeldAnswer | undefined;

  private rewrite: ((payload: Buffer) => Buffer) | undefined;

  private forgetDeadline = () => {};

  private settle: (end: string) => void = () => {};

  private readonly effects: {
    readonly [Type in AttemptEffect['type']]: (effect: Effect<Type>) => void;
  } = {
    choose: (effect) => this.choose(effect),
    ask: (effect) => this.ask(effect),
    cancel: () => this.asked?.cancel('The answer is of no more use.'),
    finish: () => this.finish(),
    fail: ({ refusals }) => this.fail(refusals),
  };

  private readonly bodies: Readonly<Partial<Record<Body['$case'], (body: Body) => void>>> = {
    start: (body) => body.$case === 'start' && this.start(body.value),
    data: (body) => body.$case === 'data' && this.data(body.value.payload),
    end: (body) => body.$case === 'end' && this.end(body.value.failure, body.value.load),
    refusal: (body) => body.$case === 'refusal' && this.refused(body.value),
  };

  constructor(
    private readonly desk: Desk,
    private readonly work: RunAsk,
    private readonly answer: CallerAnswer,
  ) {
    this.pace = new Pace(answer, desk.clock);
    this.startedMs = desk.clock.nowMs();
    this.lastFrameMs = this.startedMs;
    this.askedMs = this.startedMs;
    const { streaming, model } = work.head;
    if (streaming && model) this.held = new HeldAnswer(desk.limits.continuationBytes);
  }

  /** Resolves with how it ended, once the caller has its whole answer or a typed end. */
  run(): Promise<string> {
    const { work, desk } = this;
    const waitMs = work.deadlineAtMs - this.startedMs;
    this.forgetDeadline = desk.clock.after(waitMs, () => this.deadline());
    return new Promise((resolve) => {
      this.settle = resolve;
      const bound = work.binding.type === 'bound';
      const { repeatable } = work.head;
      const { deadlineAtMs } = work;
      const change = startAttempt({ repeatable, bound, deadlineAtMs }, this.startedMs);
      this.state = change.state;
      this.perform(change.effects);
    });
  }

  /** The caller has left. */
  gone(): void {
    this.happen({ type: 'gone' });
    this.close('gone');
  }

  /** Gives it a typed end now. */
  expire(refusal: Refusal): void {
    this.happen({ type: 'expired', refusal });
  }

  /** Looks for what has stood still for too long. */
  sweep(nowMs: Ms): void {
    const { limits } = this.desk;
    const { blockedSinceMs } = this.pace;
    if (blockedSinceMs !== undefined) {
      this.lastFrameMs = nowMs;
      if (nowMs - blockedSinceMs > limits.callerStallMs) this.answer.disconnect();
      return;
    }
    if (this.state.phase === 'answering' && nowMs - this.lastFrameMs > limits.stallMs) {
      this.asked?.cancel('The answer stands still.');
      this.broken(refuse('answer-stalled', 'The answer stood still.', UNKNOWN), 'broken');
    }
    const lateMs = this.work.deadlineAtMs + limits.lateAnswerMs;
    if (this.state.phase === 'asking' && nowMs > lateMs) {
      this.expire(refuse('answer-stalled', 'No answer came.', UNKNOWN));
    }
  }

  take(frame: Frame): void {
    this.lastFrameMs = this.desk.clock.nowMs();
    const { state, effects } = stepSequence(this.sequence, frame, this.lastFrameMs);
    this.sequence = state;
    const [effect] = effects;
    if (effect?.type === 'pass' && frame.body) this.bodies[frame.body.$case]?.(frame.body);
    else if (effect) this.irregular(effect);
  }

  lost(unsent: boolean, detail: string): void {
    // An earlier send with the same ticket may have run: only its table can say no.
    const options = unsent && this.work.binding.type === 'free' ? {} : UNKNOWN;
    const refusal = refuse(unsent ? 'sidecar-unreachable' : 'sidecar-lost', detail, options);
    this.broken(refusal, unsent ? 'unreachable' : 'broken');
  }

  private happen(event: AttemptEvent): void {
    const { state, effects } = stepAttempt(this.state, event, this.desk.clock.nowMs());
    this.state = state;
    this.perform(effects);
  }

  private perform(effects: readonly AttemptEffect[]): void {
    for (const effect of effects) {
      const act = this.effects[effect.type] as (one: AttemptEffect) => void;
      act(effect);
    }
  }

  private deadline(): void {
    if (this.state.phase !== 'choosing') return;
    this.expire(refuse('deadline-passed', 'The deadline passed before an upstream was free.'));
  }

  private choose({ tried, remainingMs }: Effect<'choose'>): void {
    const { binding, requestId, target, head } = this.work;
    const { prefixHash } = head;
    this.want = { requestId, target, prefixHash, remainingMs, tried };
    if (binding.type === 'bound') {
      this.chooseBound(binding);
      return;
    }
    void this.desk.router.choose(this.want).then((choice) => {
      if (choice.ok) this.chosen(choice.val);
      else this.happen({ type: 'unchosen', refusal: choice.val });
    });
  }

  /** A ticket's table may have been handed on since the last attempt. */
  private chooseBound({ ticket, choice }: Extract<Binding, { type: 'bound' }>): void {
    const { desk, work, state } = this;
    const place =
      state.attempt === 0 ? result.Ok(choice) : desk.tickets.locate(ticket, work.target.service);
    if (place.ok) this.chosen(place.val);
    else this.happen({ type: 'unchosen', refusal: place.val });
  }

  private chosen(choice: Choice): void {
    this.choice = choice;
    this.happen({ type: 'chosen', upstream: choice.upstream });
  }

  private ask({ attempt, continued, remainingMs }: Effect<'ask'>): void {
    const { requestId, head, binding } = this.work;
    const { sidecarAddress, incarnation } = this.choice!;
    const ticket = binding.type === 'bound' ? binding.ticket : '';
    const continuation = continued ? this.continuation() : undefined;
    this.sequence = startSequence(requestId, attempt);
    this.attemptTokenMs = undefined;
    this.askedMs = this.desk.clock.nowMs();
    this.lastFrameMs = this.askedMs;
    const own = { ...head, deadlineMs: remainingMs, ticket, incarnation, continuation };
    this.asked = this.desk.link.ask(sidecarAddress, requestId, attempt, own, this);
    this.pace.begin(this.asked);
  }

  private continuation(): ReturnType<HeldAnswer['continuation']> {
    const continuation = this.held?.continuation();
    const earlierTokens = continuation?.tokenCount ?? 0;
    this.rewrite = continuedEvents(this.held?.common() ?? {}, earlierTokens);
    this.desk.metrics.count('answer.continued');
    return continuation;
  }

  private start({ status, headers }: Extract<Body, { $case: 'start' }>['value']): void {
    this.answer.start(status, headers);
    this.happen({ type: 'started' });
  }

  private data(payload: Buffer): void {
    this.firstTokenMs ??= this.lastFrameMs;
    this.attemptTokenMs ??= this.lastFrameMs;
    const own = this.rewrite ? this.rewrite(payload) : payload;
    this.held?.add(own);
    const free = this.answer.data(own);
    if (!this.state.passed && this.answer.passed) this.happen({ type: 'passed' });
    this.pace.took(payload, free);
  }

  private end(failure: string, load: UpstreamLoad | undefined): void {
    if (failure) {
      this.broken({ ...refuse(failure, 'The answer broke off.', UNKNOWN), load }, 'broken');
      return;
    }
    this.learn('answered', { load });
    this.asked?.done();
    this.happen({ type: 'whole' });
  }

  private refused(refusal: Refusal): void {
    this.learn('refused', { refusal, load: refusal.load });
    this.asked?.done();
    this.happen({ type: 'refused', refusal });
  }

  private broken(refusal: Refusal, type: 'broken' | 'unreachable'): void {
    this.learn(type, { refusal, load: refusal.load });
    this.asked?.done();
    if (this.state.passed && this.held?.finished()) {
      this.answer.data(DONE_EVENT);
      this.happen({ type: 'whole' });
      return;
    }
    const continuable = this.held?.continuation() !== undefined;
    this.happen({ type: 'broken', refusal, continuable });
  }

  private irregular(effect: FrameEffect): void {
    if (effect.type === 'drop') {
      this.desk.metrics.count('frames.dropped', 1, { reason: effect.reason });
      return;
    }
    if (effect.type !== 'gap') return;
    this.desk.metrics.count('frames.gap');
    this.asked?.cancel('Frames are missing.');
    const detail = `Frame ${effect.expected} was due, ${effect.found} came.`;
    this.broken(refuse('frames-missing', detail, UNKNOWN), 'broken');
  }

  private learn(type: Outcome['type'], more: Pick<Outcome, 'load' | 'refusal'>): void {
    if (!this.choice || !this.want) return;
    const { upstream } = this.choice;
    const { attemptTokenMs, askedMs, want } = this;
    const firstTokenMs = attemptTokenMs === undefined ? undefined : attemptTokenMs - askedMs;
    this.desk.router.learn({ upstream, want, type, firstTokenMs, ...more });
  }

  private finish(): void {
    this.answer.end();
    this.close('answered');
  }

  private fail(refusals: readonly Refusal[]): void {
    const bound = this.work.binding.type === 'bound';
    const refusal = bound ? this.desk.tickets.conclude(refusals) : conclude(refusals);
    this.answer.fail(refusal);
    this.close(refusal.type);
  }

  private close(end: string): void {
    if (this.closed) return;
    this.closed = true;
    this.forgetDeadline();
    const { metrics, clock, log } = this.desk;
    log.info('request', { requestId: this.work.requestId, end });
    metrics.count('request', 1, { end });
    metrics.histogram('request_ms', clock.nowMs() - this.startedMs);
    if (this.firstTokenMs !== undefined) {
      metrics.histogram('first_token_ms', this.firstTokenMs - this.startedMs);
    }
    this.settle(end);
  }
}
