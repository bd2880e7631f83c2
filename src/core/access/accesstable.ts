import type { CustomerId, KeyHash } from '../../base/index.js';
import type { CustomerSpec } from './customerspec.js';

/** Customers of one configuration, by id and by the hash of their keys. */
export interface AccessTable {
  readonly customers: ReadonlyMap<CustomerId, CustomerSpec>;
  /** Most urgent priority of any customer (the lowest number); absent if none has one. */
  readonly highestPriority?: number;
  readonly customerByKey: ReadonlyMap<KeyHash, CustomerSpec>;
}
