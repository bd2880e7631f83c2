import type { CustomerId, KeyHash } from '../../base/index.js';
import type { Quota } from '../../core/access/index.js';

/** An entry's view of one customer, for an operator. */
export interface CustomerState {
  readonly id: CustomerId;
  readonly keyHashes: readonly KeyHash[];
  readonly quota?: Quota;
  /** Tokens or requests that this entry may use without asking the holder. */
  readonly held: number;
  /** What the quota holder has left for all entries; absent at other entries. */
  readonly left?: number;
  /** Requests that this entry has refused because of the customer's quota since it started. */
  readonly refusedCount: number;
}
