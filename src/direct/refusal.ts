import type { Executed, Failure, Ms } from '../base/index.js';

/** An end that is no upstream's answer. */
export interface Refusal extends Failure {
  readonly status: number;
  readonly executed: Executed;
  /** When it is worth coming back. */
  readonly retryAfterMs?: Ms;
}
