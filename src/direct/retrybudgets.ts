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

  private readonly startedAtMs: Ms;

  private hasPredecessor = false;

  constructor(private readonly options: RetryBudgetsOptions) {
    this.startedAtMs = options.clock.nowMs();
  }

  /**
   * Called at the start if entries ran before this one: one of them, on the same host, may have spent this entry's part
   * of the slack in the window in which this one starts.
   */
  setPredecessor(): void {
    this.hasPredecessor = true;
  }

  of(service: ServiceId): RetryBudget {
    let budget = this.byService.get(service);
    if (!budget) {
      const { ratio, windowMs } = this.options;
      budget = new RetryBudget({ windowMs, ratio, slack: () => this.slack() });
      this.byService.set(service, budget);
    }
    return budget;
  }

  private slack(): number {
    const { clock, slack, windowMs, parts } = this.options;
    const isFirstWindow = clock.nowMs() - this.startedAtMs < windowMs;
    return isFirstWindow && this.hasPredecessor ? 0 : slack / parts();
  }
}
