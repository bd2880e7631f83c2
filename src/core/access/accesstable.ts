import type { CustomerId, KeyHash } from '../../base/index.js';
import type { CustomerSpec } from './customerspec.js';

/** The customers of one configuration and the hashes of their keys. */
export interface AccessTable {
  readonly customers: ReadonlyMap<CustomerId, CustomerSpec>;
  /** The most urgent priority that a customer has; absent where none has any. */
  readonly firstPriority?: number;
  readonly customerByKey: ReadonlyMap<KeyHash, CustomerSpec>;
}
