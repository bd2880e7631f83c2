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
   * Called at the start if entries ran before this one: one of them, on the same host, may have spent in the window in
   * which this one starts all that its requests of a whole window and its part of the slack allow.
   */
  setPredecessor(): void {
    this.hasPredecessor = true;
  }

  of(service: ServiceId): RetryBudget {
    let budget = this.byService.get(service);
    if (!budget) {
      const { ratio, slack, windowMs, parts } = this.options;
      const isOpen = () => !this.isFirstWindow();
      budget = new RetryBudget({ windowMs, ratio, slack: () => slack / parts(), isOpen });
      this.byService.set(service, budget);
    }
    return budget;
  }

  private isFirstWindow(): boolean {
    const { clock, windowMs } = this.options;
    return this.hasPredecessor && clock.nowMs() - this.startedAtMs < windowMs;
  }
}
