import type { Ms } from '../../base/index.js';
import type { Retry, RetryBudget } from '../../core/retrybudget/index.js';

/** Charges one request's attempts to the retry budget: each that reaches an upstream after the first. */
export class RetryCharge {
  private hasArrived = false;

  private budget: RetryBudget | undefined;

  /** The retry that is reserved, or under way. */
  private retry: Retry | undefined;

  /** Reserves the next attempt. Returns false if it would be a retry and the budget is spent. */
  reserve(budget: RetryBudget, nowMs: Ms): boolean {
    if (!this.hasArrived) return true;
    // A new configuration may have changed the service of the request since the reservation.
    if (this.budget !== budget) this.settle();
    this.budget = budget;
    this.retry ??= budget.reserve(nowMs);
    return this.retry !== undefined;
  }

  /** Counts the next attempt as sent now. Returns false if it is a retry that the budget does not allow now. */
  send(budget: RetryBudget, nowMs: Ms): boolean {
    return this.reserve(budget, nowMs) && (this.retry?.send(nowMs) ?? true);
  }

  /** Returns how long the retry that was just sent has been reserved; undefined for a first attempt. */
  waitedMs(nowMs: Ms): Ms | undefined {
    return this.retry && nowMs - this.retry.reservedAtMs;
  }

  /** The attempt under way has ended. One that did not reach its upstream is not charged. */
  ended(hasArrived: boolean): void {
    if (!hasArrived) {
      this.retry?.withhold();
      return;
    }
    this.hasArrived = true;
    this.retry = undefined;
  }

  /** Returns a reservation that was not used. */
  settle(): void {
    this.retry?.cancel();
    this.retry = undefined;
  }
}
