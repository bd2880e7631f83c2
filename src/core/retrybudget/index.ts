/** Retry budgets. */
export { RetryBudget } from './retrybudget.js';
export type { Retry } from './retry.js';
