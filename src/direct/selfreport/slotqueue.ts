import type { Clock, Ms } from '../../base/index.js';
import { rateRules, slotIntervalMs } from '../../core/sharedrate/index.js';
import type { SlotAnswer } from './slotanswer.js';

/** A request for a slot that waits in the queue. */
interface Waiter {
  readonly rank: number;
  readonly untilMs: Ms;
  readonly answer: (reply: SlotAnswer) => void;
}

interface SlotQueueOptions {
  readonly clock: Clock;
  /** Fraction of the rate that this process may grant now: 0 unless it is the holder. */
  readonly share: () => number;
}

/** Waiting requests for slots of one upstream, served by urgency and then in order of arrival. */
export class SlotQueue {
  private readonly waiters: Waiter[] = [];

  private forgetTimer = () => {};

  constructor(
    private readonly options: SlotQueueOptions,
    private perS: number,
    private nextAtMs: Ms,
  ) {}

  /** Sets a new rate. */
  rate(perS: number): void {
    this.perS = perS;
  }

  /** Grants no slot before then. */
  notBefore(atMs: Ms): void {
    this.nextAtMs = Math.max(this.nextAtMs, atMs);
  }

  /** Waits for a slot. Resolves when it is granted, or when the waiting time is over. */
  ask(rank: number, waitMs: Ms): Promise<SlotAnswer> {
    const untilMs = this.options.clock.nowMs() + waitMs;
    return new Promise((resolve) => {
      this.waiters.push({ rank, untilMs, answer: resolve });
      this.serve();
      if (this.waiters.length > rateRules.maxQueued) this.waiters.pop()!.answer(this.later());
    });
  }

  /** Answers all waiters at once: another process grants the slots now, or the limit was lifted. */
  close(reply: SlotAnswer): void {
    this.forgetTimer();
    for (const { answer } of this.waiters.splice(0)) answer(reply);
  }

  /** Grants the slots that are due, answers waiters whose time is over, and schedules the next call. */
  private serve(): void {
    const nowMs = this.options.clock.nowMs();
    const share = this.options.share();
    if (share <= 0) {
      for (const { answer } of this.waiters.splice(0)) answer({ type: 'not-holder' });
      return;
    }
    this.rejectExpired(nowMs);
    while (nowMs >= this.nextAtMs && this.waiters.length > 0) {
      this.takeMostUrgent().answer({ type: 'granted' });
      // Slots that are due make up for a late timer; slots of a time without requests are lost.
      const dueAtMs = Math.max(this.nextAtMs, nowMs - rateRules.maxLatenessMs);
      this.nextAtMs = dueAtMs + slotIntervalMs(this.perS) / share;
    }
    this.schedule(nowMs);
  }

  private rejectExpired(nowMs: Ms): void {
    const late = this.waiters.filter(({ untilMs }) => untilMs < nowMs);
    for (const waiter of late) {
      this.waiters.splice(this.waiters.indexOf(waiter), 1);
      waiter.answer(this.later());
    }
  }

  private schedule(nowMs: Ms): void {
    this.forgetTimer();
    if (this.waiters.length === 0) return;
    const ends = this.waiters.map(({ untilMs }) => untilMs + 1);
    const inMs = Math.max(1, Math.min(this.nextAtMs, ...ends) - nowMs);
    this.forgetTimer = this.options.clock.after(inMs, () => this.serve());
  }

  private takeMostUrgent(): Waiter {
    let first = 0;
    for (const [at, { rank }] of this.waiters.entries()) {
      if (rank < this.waiters[first]!.rank) first = at;
    }
    return this.waiters.splice(first, 1)[0]!;
  }

  /** Returns the answer for a waiter that gets no slot: it can ask again after the expected time to serve the queue. */
  private later(): SlotAnswer {
    const { minBackoffMs: leastPauseMs, maxBackoffMs: mostPauseMs } = rateRules;
    const nextInMs = this.nextAtMs - this.options.clock.nowMs();
    const queueMs = this.waiters.length * slotIntervalMs(this.perS);
    const delayMs = Math.min(mostPauseMs, Math.max(leastPauseMs, nextInMs + queueMs));
    return { type: 'later', inMs: Math.round(delayMs) };
  }
}
