import type { CustomerId } from '../../base/index.js';

/** A customer of one service. */
export interface Customer {
  readonly id: CustomerId;
  /** SHA-256 of each bearer key in lower-case hex. The keys themselves are never stored. */
  readonly keyHashes: readonly string[];
  /** Weight in the fair division between customers who wait; greater than 0. */
  readonly share: number;
  /** Requests that this customer may have in flight at one entry. */
  readonly inFlightLimit?: number;
}
