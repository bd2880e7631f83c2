import type { Epoch, HostId, Ms, Revision } from '../../base/index.js';
import type { OrderLeaseRecord } from './orderleaserecord.js';

/** The record as last read. */
interface SeenRecord {
  readonly value: OrderLeaseRecord;
  readonly revision: Revision;
  /** When it was read here; it was written no later than this. */
  readonly seenAtMs: Ms;
}

/** A lease that this process holds. */
interface OwnLease {
  /** The fencing token: the revision at which the lease was taken. */
  readonly epoch: Epoch;
  /** Revision of the last renewal. */
  readonly revision: Revision;
  readonly renewAtMs: Ms;
  /** No order is sent from this time on. */
  readonly validUntilMs: Ms;
  /** No order is sent before this: the previous holder may still be active. */
  readonly ordersFromMs: Ms;
}

/** One process's view of the order lease. */
export interface OrderLeaseState {
  readonly host: HostId;
  readonly address: string;
  readonly nonce: string;
  /** Least time between the last order of one holder and the first of the next. */
  readonly spacingMs: Ms;
  /** How long this process waits after the lease becomes free before it tries to take it. */
  readonly delayMs: Ms;
  readonly seen: SeenRecord | undefined;
  readonly own: OwnLease | undefined;
  /** No order is sent before this, whoever the record names. Set by a takeover whose outcome is unknown. */
  readonly notBeforeMs: Ms;
}
