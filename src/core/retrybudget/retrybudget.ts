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
    const { retries, allowed } = this.usage(nowMs);
    if (retries + 1 > allowed) return false;
    this.retries.add(nowMs);
    return true;
  }

  /** Returns the requests and retries in the current window, and how many retries it allows. */
  usage(nowMs: Ms): { requests: number; retries: number; allowed: number } {
    const { windowMs, ratio, slack } = this.limits;
    const requests = this.requests.count(nowMs, windowMs);
    const retries = this.retries.count(nowMs, windowMs);
    return { requests, retries, allowed: ratio * requests + slack() };
  }
}
