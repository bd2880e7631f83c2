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
import { Continuer } from './continuer.js';
import type { Desk } from './desk.js';
import type { Asked } from './link/index.js';
import type { Binding, Choice, Outcome, Want } from './part/index.js';
import type { Live } from './live.js';
import { Pace } from './pace.js';
import { Reader } from './reader.js';
import type { RunAsk } from './runask.js';
import { RunMeter } from './runmeter.js';

type Effect<Type> = Extract<AttemptEffect, { type: Type }>;

const DONE_EVENT = Buffer.from('data: [DONE]\n\n');
const UNKNOWN = { executed: Executed.EXECUTED_UNKNOWN };

/** Carries one request through its attempts: what the cores decide is done here. */
export class Run implements Live {
  private state!: AttemptState;

  private reader: Reader | undefined;

  private choice: Choice | undefined;

  private want: Want | undefined;

  private asked: Asked | undefined;

  private readonly pace: Pace;

  private closed = false;

  private readonly meter: RunMeter;

  private readonly continuer: Continuer;

  private forgetDeadline = () => {};

  private settle: (end: string) => void = () => {};

  private readonly effects: {
    readonly [Type in AttemptEffect['type']]: (effect: Effect<Type>) => void;
  } = {
    choose: (effect) => this.chooseLater(effect),
    ask: (effect) => this.ask(effect),
    cancel: () => this.cancel(),
    finish: () => this.finish(),
    fail: ({ refusals }) => this.fail(refusals),
  };

  constructor(
    private readonly desk: Desk,
    private readonly work: RunAsk,
    private readonly answer: CallerAnswer,
  ) {
    this.pace = new Pace(answer, desk.clock);
    this.meter = new RunMeter(desk.clock.nowMs());
    const { streaming, model } = work.head;
    const canHold = streaming && model !== '';
    this.continuer = new Continuer(canHold ? desk.limits.continuationBytes : undefined);
  }

  /** Resolves with how it ended, once the caller has its whole answer or a typed end. */
  run(): Promise<string> {
    const { work, desk } = this;
    const nowMs = desk.clock.nowMs();
    const waitMs = work.deadlineAtMs - nowMs;
    this.forgetDeadline = desk.clock.after(waitMs, () => this.deadline());
    return new Promise((resolve) => {
      this.settle = resolve;
      const bound = work.binding.type === 'bound';
      const { repeatable } = work.head;
      const { deadlineAtMs } = work;
      const change = startAttempt({ repeatable, bound, deadlineAtMs }, nowMs);
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
      if (nowMs - blockedSinceMs > limits.callerStallMs) this.answer.disconnect();
      return;
    }
    const heardMs = Math.max(this.reader?.lastFrameMs ?? nowMs, this.pace.freeSinceMs);
    if (this.state.phase === 'answering' && nowMs - heardMs > limits.stallMs) {
      this.abandon(refuse('answer-stalled', 'The answer stood still.', UNKNOWN));
    }
    const lateMs = this.work.deadlineAtMs + limits.lateAnswerMs;
    if (this.state.phase === 'asking' && nowMs > lateMs) {
      this.expire(refuse('answer-stalled', 'No answer came.', UNKNOWN));
    }
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

  private chooseLater(effect: Effect<'choose'>): void {
    if (effect.afterMs > 0) this.desk.clock.after(effect.afterMs, () => this.choose(effect));
    else this.choose(effect);
  }

  private choose({ tried, remainingMs }: Effect<'choose'>): void {
    if (this.state.phase !== 'choosing') return;

    const { binding, requestId, target, head } = this.work;
    const { prefixHash } = head;
    const { again } = this.state;
    this.want = { requestId, target, prefixHash, remainingMs, tried, again };
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
    // The caller may have left while the router waited; the router counts the choice as work.
    if (this.state.phase !== 'choosing') this.learn('cancelled', {});
    this.happen({ type: 'chosen', upstream: choice.upstream });
  }

  private ask({ attempt, continued, remainingMs }: Effect<'ask'>): void {
    const { requestId, head, binding } = this.work;
    const { sidecarAddress, incarnation } = this.choice!;
    const ticket = binding.type === 'bound' ? binding.ticket : '';
    const continuation = continued ? this.continuation() : undefined;
    this.reader = this.read(attempt);
    this.meter.asked(this.reader.lastFrameMs);
    const own = { ...head, deadlineMs: remainingMs, ticket, incarnation, continuation };
    this.asked = this.desk.link.ask(sidecarAddress, requestId, attempt, own, this.reader);
    this.pace.begin(this.asked);
  }

  private read(attempt: number): Reader {
    return new Reader(this.work.requestId, attempt, this.desk, {
      started: (start) => this.start(start),
      data: (payload) => this.data(payload),
      ended: (end) => this.end(end),
      refused: (refusal) => this.refused(refusal),
      gap: (refusal) => this.abandon(refusal),
      lost: (unsent, detail) => this.lost(unsent, detail),
    });
  }

  private continuation(): Continuation | undefined {
    this.desk.metrics.count('answer.continued');
    return this.continuer.next();
  }

  private start({ status, headers }: AnswerStart): void {
    this.answer.start(status, headers);
    this.happen({ type: 'started' });
  }

  private data(payload: Buffer): void {
    this.meter.token(this.desk.clock.nowMs());
    const free = this.answer.data(this.continuer.pass(payload));
    if (!this.state.passed && this.answer.passed) this.happen({ type: 'passed' });
    this.pace.took(payload, free);
  }

  private end({ failure, load, candidates }: AnswerEnd): void {
    if (failure) {
      const refusal = refuse(failure, 'The answer broke off.', { ...UNKNOWN, candidates });
      this.broken({ ...refusal, load }, 'broken');
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
    if (this.state.passed && this.continuer.isFinished()) {
      this.answer.data(DONE_EVENT);
      this.happen({ type: 'whole' });
      return;
    }
    const continuable = this.continuer.canContinue();
    this.happen({ type: 'broken', refusal, continuable });
  }

  /** Gives up the attempt that runs, as its answer cannot become whole. */
  private abandon(refusal: Refusal): void {
    this.asked?.cancel(refusal.detail);
    this.broken(refusal, 'broken');
  }

  private lost(unsent: boolean, detail: string): void {
    // An earlier send with the same ticket may have run: only its table can say no.
    const options = unsent && this.work.binding.type === 'free' ? {} : UNKNOWN;
    const refusal = refuse(unsent ? 'sidecar-unreachable' : 'sidecar-lost', detail, options);
    this.broken(refusal, unsent ? 'unreachable' : 'broken');
  }

  private learn(type: Outcome['type'], more: Pick<Outcome, 'load' | 'refusal'>): void {
    if (!this.choice || !this.want) return;
    const { upstream } = this.choice;
    const { want } = this;
    const firstTokenMs = this.meter.attemptFirstTokenMs();
    this.desk.router.learn({ upstream, want, type, firstTokenMs, ...more });
  }

  private cancel(): void {
    this.asked?.cancel('The answer is of no more use.');
    this.learn('cancelled', {});
  }

  private finish(): void {
    this.answer.end();
    this.close('answered');
  }

  private fail(refusals: readonly Refusal[]): void {
    const bound = this.work.binding.type === 'bound';
    const refusal = bound ? this.desk.tickets.conclude(refusals) : finalRefusal(refusals);
    this.answer.fail(refusal);
    this.close(refusal.type);
  }

  private close(end: string): void {
    if (this.closed) return;
    this.closed = true;
    this.forgetDeadline();
    this.desk.router.abandon(this.work.target.service, this.work.requestId);
    const { metrics, clock, log } = this.desk;
    log.info('request', { requestId: this.work.requestId, end });
    this.meter.report(metrics, end, clock.nowMs());
    this.settle(end);
  }
}
