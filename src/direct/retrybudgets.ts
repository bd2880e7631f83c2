import type { Clock, Ms, ServiceId } from '../base/index.js';
import { RetryBudget } from '../core/retrybudget/index.js';

/** Options of an entry's retry budgets. */
interface RetryBudgetsOptions {
  readonly clock: Clock;
  /** Retries allowed for each request in a window. */
  readonly ratio: number;
  /** Retries allowed beyond that, over all entries. */
  readonly slack: number;
  readonly windowMs: Ms;
  /** Returns the number of parts into which the slack is divided. */
  readonly parts: () => number;
}

/** One entry's part of the retry budget of each service. */
export class RetryBudgets {
  private readonly byService = new Map<ServiceId, RetryBudget>();

  constructor(private readonly options: RetryBudgetsOptions) {}

  of(service: ServiceId): RetryBudget {
    let budget = this.byService.get(service);
    if (!budget) {
      const { ratio, slack, windowMs, parts } = this.options;
      budget = new RetryBudget({ windowMs, ratio, slack: () => slack / parts() });
      this.byService.set(service, budget);
    }
    return budget;
  }
}
