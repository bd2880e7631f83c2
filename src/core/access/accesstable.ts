import type { CustomerId, KeyHash } from '../../base/index.js';
import type { CustomerSpec } from './customerspec.js';

/** The customers of one configuration and the hashes of their keys. */
export interface AccessTable {
  readonly customers: ReadonlyMap<CustomerId, CustomerSpec>;
  readonly customerByKey: ReadonlyMap<KeyHash, CustomerSpec>;
}
