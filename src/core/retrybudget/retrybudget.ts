import type { Ms } from '../../base/index.js';
import { SlidingWindow } from './slidingwindow.js';

/** Limits on retries. */
interface BudgetLimits {
  readonly windowMs: Ms;
  /** Retries allowed for each request in the window. */
  readonly ratio: number;
  /** Retries allowed beyond that in a window; depends on the number of entries that share it. */
  readonly slack: () => number;
}

/** One entry's share of a service's retry budget, enforced independently of the other entries. */
export class RetryBudget {
  private readonly requests = new SlidingWindow();

  private readonly retries = new SlidingWindow();

  constructor(private readonly limits: BudgetLimits) {}

  /** Counts a caller's request to the service. */
  request(nowMs: Ms): void {
    this.requests.add(nowMs);
  }

  /** Takes one retry; returns false if none is left. */
  take(nowMs: Ms): boolean {
    const { windowMs, ratio, slack } = this.limits;
    const allowed = ratio * this.requests.count(nowMs, windowMs) + slack();
    if (this.retries.count(nowMs, windowMs) + 1 > allowed) return false;
    this.retries.add(nowMs);
    return true;
  }
}
