import type { Incarnation, Ms } from '../../base/index.js';
import type { HoldingKey, Ledger } from '../ledger/index.js';
import type { Catalogue, Plan } from '../reconcile/index.js';
import type { Rescue } from './rescue.js';

/** What one sidecar knows and wants of its upstream's memory. */
export interface ResidencyState {
  readonly upstream: string;
  readonly ledger: Ledger;
  /** Undefined until the service's document is known. */
  readonly catalogue: Catalogue | undefined;
  /** Whether the engine refuses an order with an old fencing token. */
  readonly checksFencing: boolean;
  /** 0 until taken. */
  readonly incarnation: Incarnation;
  /** Last poll that was asked before the incarnation was taken. */
  readonly takenAtPoll: number;
  /** True once another sidecar has taken this upstream, or the engine has seen a later token. */
  readonly isSuperseded: boolean;
  /** False after a call to the store has failed, until one succeeds. */
  readonly isStoreReachable: boolean;
  /** Attempts of each order that the store holds under our incarnation. */
  readonly recordedAttempts: ReadonlyMap<string, number>;
  /** When the call was sent that proved them, and that no other sidecar had come. */
  readonly provenAtMs: Ms;
  /** Orders and attempts that the store was last asked to hold. */
  readonly wantedIntents: string | undefined;
  readonly orderCount: number;
  readonly plan: Plan | undefined;
  /** Models that other upstreams keep reachable, as the entries last told. */
  readonly replicas: ReadonlySet<string>;
  readonly rescues: ReadonlyMap<string, Rescue>;
  readonly lastUsedAtMs: ReadonlyMap<HoldingKey, Ms>;
  /** Learnt from the loads seen here. */
  readonly loadBytesPerMs: number;
  /** False for an engine that gives no report, or one without memory: it serves what it likes. */
  readonly isManaged: boolean;
  /** True once the upstream leaves: no new pins, no new loads. */
  readonly isLeaving: boolean;
}
