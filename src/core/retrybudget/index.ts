/** Retry budgets. */
export { RetryBudget } from './retrybudget.js';
