import type { Epoch, HostId, Ms, Revision } from '../../base/index.js';
import type { TurnRecord } from './turnrecord.js';

/** The record as last heard of. */
interface SeenRecord {
  readonly value: TurnRecord;
  readonly revision: Revision;
  /** The record was written no later than this. */
  readonly seenAtMs: Ms;
}

/** A right that this process has. */
interface OwnTurn {
  /** The fencing token: the revision at which the right was taken. */
  readonly epoch: Epoch;
  /** Revision of the last renewal. */
  readonly revision: Revision;
  readonly renewAtMs: Ms;
  /** No order leaves after this. */
  readonly validUntilMs: Ms;
  /** No order leaves before this: the holder before may still be active. */
  readonly ordersFromMs: Ms;
}

/** What one process knows of the right to give orders. */
export interface TurnState {
  readonly host: HostId;
  readonly address: string;
  readonly nonce: string;
  /** How long an order counts against one of another holder. */
  readonly turnMs: Ms;
  /** This process's place among those that would take over, as a delay. */
  readonly delayMs: Ms;
  readonly seen: SeenRecord | undefined;
  readonly own: OwnTurn | undefined;
  /** Set by an attempt whose outcome is unknown: no order before then, whoever the record names. */
  readonly notBeforeMs: Ms;
}
