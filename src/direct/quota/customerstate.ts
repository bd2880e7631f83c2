import type { CustomerId, KeyHash } from '../../base/index.js';
import type { Quota } from '../../core/access/index.js';

/** One customer as an entry knows it, for an operator. */
export interface CustomerState {
  readonly id: CustomerId;
  readonly keyHashes: readonly KeyHash[];
  readonly quota?: Quota;
  /** What this entry may run without asking. */
  readonly held: number;
  /** What the holder of quotas has for all entries; absent at the others. */
  readonly left?: number;
  /** Requests that this entry refused for the customer's limit since it started. */
  readonly refusedCount: number;
}
