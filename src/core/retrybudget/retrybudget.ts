import type { Ms } from '../../base/index.js';

/** Bounds of repeats. */
interface BudgetLimits {
  readonly windowMs: Ms;
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats beyond that in a window. */
  readonly slack: number;
}

/** Times in a window, oldest first. */
class Window {
  private times: Ms[] = [];

  private from = 0;

  add(nowMs: Ms): void {
    this.times.push(nowMs);
  }

  count(nowMs: Ms, windowMs: Ms): number {
    while (this.from < this.times.length && this.times[this.from]! <= nowMs - windowMs) {
      this.from += 1;
    }
    if (this.from * 2 > this.times.length) {
      this.times = this.times.slice(this.from);
      this.from = 0;
    }
    return this.times.length - this.from;
  }
}

/** One entry's share of a service's retry budget: it holds whatever the others do with theirs. */
export class RetryBudget {
  private readonly requests = new Window();

  private readonly repeats = new Window();

  constructor(private readonly limits: BudgetLimits) {}

  /** A caller's request for the service has come. */
  request(nowMs: Ms): void {
    this.requests.add(nowMs);
  }

  /** Takes one repeat, if there is one left. */
  take(nowMs: Ms): boolean {
    const { windowMs, ratio, slack } = this.limits;
    const allowed = ratio * this.requests.count(nowMs, windowMs) + slack;
    if (this.repeats.count(nowMs, windowMs) + 1 > allowed) return false;
    this.repeats.add(nowMs);
    return true;
  }
}
