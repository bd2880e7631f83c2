import type { Clock, Ms } from '../../base/index.js';
import { rateRules, slotIntervalMs } from '../../core/sharedrate/index.js';
import type { SlotAnswer } from './slotanswer.js';

/** A question that waits for its slot. */
interface Waiter {
  readonly rank: number;
  readonly untilMs: Ms;
  readonly answer: (said: SlotAnswer) => void;
}

/** What a line stands on. */
interface SlotLineOptions {
  readonly clock: Clock;
  /** Part of the rate that this process may give out now: 0 at all but the holder. */
  readonly share: () => number;
}

/** Those who wait for the slots of one upstream: the most urgent first, and among them the one that came first. */
export class SlotLine {
  private readonly waiters: Waiter[] = [];

  private forgetTimer = () => {};

  constructor(
    private readonly options: SlotLineOptions,
    private perS: number,
    private nextAtMs: Ms,
  ) {}

  /** The upstream has named another rate. */
  rate(perS: number): void {
    this.perS = perS;
  }

  /** No slot lies before then. */
  notBefore(atMs: Ms): void {
    this.nextAtMs = Math.max(this.nextAtMs, atMs);
  }

  /** Answers when there is a slot for it, or when it is of no use any more. */
  ask(rank: number, waitMs: Ms): Promise<SlotAnswer> {
    const untilMs = this.options.clock.nowMs() + waitMs;
    return new Promise((resolve) => {
      this.waiters.push({ rank, untilMs, answer: resolve });
      this.serve();
      if (this.waiters.length > rateRules.maxQueued) this.waiters.pop()!.answer(this.later());
    });
  }

  /** Sends all away: another process gives the slots out, or the limit is over. */
  close(said: SlotAnswer): void {
    this.forgetTimer();
    for (const { answer } of this.waiters.splice(0)) answer(said);
  }

  /** Hands out what is due, sends away whose time is over, and looks again when something changes next. */
  private serve(): void {
    const nowMs = this.options.clock.nowMs();
    const share = this.options.share();
    if (share <= 0) {
      for (const { answer } of this.waiters.splice(0)) answer({ type: 'not-holder' });
      return;
    }
    this.sendAway(nowMs);
    while (nowMs >= this.nextAtMs && this.waiters.length > 0) {
      this.takeFirst().answer({ type: 'granted' });
      // A timer that is late must not cost slots; a time in which nobody asked does.
      const dueAtMs = Math.max(this.nextAtMs, nowMs - rateRules.maxLatenessMs);
      this.nextAtMs = dueAtMs + slotIntervalMs(this.perS) / share;
    }
    this.look(nowMs);
  }

  private sendAway(nowMs: Ms): void {
    const late = this.waiters.filter(({ untilMs }) => untilMs < nowMs);
    for (const waiter of late) {
      this.waiters.splice(this.waiters.indexOf(waiter), 1);
      waiter.answer(this.later());
    }
  }

  private look(nowMs: Ms): void {
    this.forgetTimer();
    if (this.waiters.length === 0) return;
    const ends = this.waiters.map(({ untilMs }) => untilMs + 1);
    const inMs = Math.max(1, Math.min(this.nextAtMs, ...ends) - nowMs);
    this.forgetTimer = this.options.clock.after(inMs, () => this.serve());
  }

  private takeFirst(): Waiter {
    let first = 0;
    for (const [at, { rank }] of this.waiters.entries()) {
      if (rank < this.waiters[first]!.rank) first = at;
    }
    return this.waiters.splice(first, 1)[0]!;
  }

  /** Those who asked in vain come again when the line before them may have been served. */
  private later(): SlotAnswer {
    const { minBackoffMs: leastPauseMs, maxBackoffMs: mostPauseMs } = rateRules;
    const freeInMs = this.nextAtMs - this.options.clock.nowMs();
    const lineMs = this.waiters.length * slotIntervalMs(this.perS);
    const pauseMs = Math.min(mostPauseMs, Math.max(leastPauseMs, freeInMs + lineMs));
    return { type: 'later', inMs: Math.round(pauseMs) };
  }
}
