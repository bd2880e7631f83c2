import type { Executed, Failure, Ms } from '../base/index.js';

/** A failure that the entry itself answers with. */
export interface Refusal extends Failure {
  readonly status: number;
  readonly executed: Executed;
  /** How long the caller should wait before a retry. */
  readonly retryAfterMs?: Ms;
}
