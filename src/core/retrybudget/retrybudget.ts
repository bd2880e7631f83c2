import type { Ms } from '../../base/index.js';
import { Window } from './window.js';

/** Bounds of repeats. */
interface BudgetLimits {
  readonly windowMs: Ms;
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats beyond that in a window; it changes with the number of those who share it. */
  readonly slack: () => number;
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
    const allowed = ratio * this.requests.count(nowMs, windowMs) + slack();
    if (this.repeats.count(nowMs, windowMs) + 1 > allowed) return false;
    this.repeats.add(nowMs);
    return true;
  }
}
