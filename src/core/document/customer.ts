import type { CustomerId } from '../../base/index.js';

/** A customer of one service. */
export interface Customer {
  readonly id: CustomerId;
  /** SHA-256 of each bearer key in lower-case hex. The keys themselves are never stored. */
  readonly keyHashes: readonly string[];
  /** Weight in fair queueing between customers with waiting requests; greater than 0. */
  readonly share: number;
  /** Maximum number of requests in flight of this customer at one entry. */
  readonly inFlightLimit?: number;
}
