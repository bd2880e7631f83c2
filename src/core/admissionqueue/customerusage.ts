import type { Ms } from '../../base/index.js';
import { queueRules } from './queuerules.js';

const { usageMs } = queueRules;
/** Customers are dropped above this number if they have used less than `MIN_TOKENS` recently. */
const MAX_CUSTOMERS = 1000;
const MIN_TOKENS = 0.5;

/** Decaying sum of the tokens that each customer was admitted with. */
export class CustomerUsage {
  /**
   * Logarithm of each sum, plus the elapsed time constants. All sums decay by the same factor, so that the order of
   * these keys does not change with time and a key only grows.
   */
  private readonly keys = new Map<string, number>();

  add(customer: string, tokens: number, nowMs: Ms): void {
    const usage = this.at(customer, nowMs) + Math.max(1, tokens);
    this.keys.set(customer, Math.log(usage) + nowMs / usageMs);
    if (this.keys.size > MAX_CUSTOMERS) this.drop(nowMs);
  }

  /** Returns a number by which customers can be compared at any time: the least goes first. */
  keyOf(customer: string): number {
    return this.keys.get(customer) ?? -Infinity;
  }

  /** Returns the tokens used recently. */
  at(customer: string, nowMs: Ms): number {
    return Math.exp(this.keyOf(customer) - nowMs / usageMs);
  }

  private drop(nowMs: Ms): void {
    for (const customer of this.keys.keys()) {
      if (this.at(customer, nowMs) < MIN_TOKENS) this.keys.delete(customer);
    }
  }
}
