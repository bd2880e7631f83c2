import type { Incarnation, Ms } from '../../base/index.js';
import type { HoldingKey, Ledger } from '../ledger/index.js';
import type { Catalogue, Plan } from '../reconcile/index.js';
import type { Rescue } from './rescue.js';

/** One sidecar's view of its upstream's memory: known contents, plan, open orders and pins. */
export interface ResidencyState {
  readonly upstream: string;
  readonly ledger: Ledger;
  /** Undefined until the service's document is known. */
  readonly catalogue: Catalogue | undefined;
  /** True if the engine refuses orders with an old fencing token. */
  readonly checksFencing: boolean;
  /** 0 until this sidecar has taken an incarnation. */
  readonly incarnation: Incarnation;
  /** Sequence number of the last poll sent before the incarnation was taken. */
  readonly takenAtPoll: number;
  /** True once another sidecar has taken this upstream, or the engine has seen a later token. */
  readonly isSuperseded: boolean;
  /** False from a failed store call until the next one that succeeds. */
  readonly isStoreReachable: boolean;
  /** Attempt number per order that the store holds under this incarnation. */
  readonly recordedAttempts: ReadonlyMap<string, number>;
  /** Send time of the store call that confirmed them and that no other sidecar had taken over. */
  readonly provenAtMs: Ms;
  /** Orders and attempts of the last `intents` effect, to detect changes. */
  readonly wantedIntents: string | undefined;
  readonly orderCount: number;
  readonly plan: Plan | undefined;
  /** Models that other upstreams hold, by the last on-demand load request of an entry. */
  readonly replicas: ReadonlySet<string>;
  readonly rescues: ReadonlyMap<string, Rescue>;
  readonly lastUsedAtMs: ReadonlyMap<HoldingKey, Ms>;
  /** Smoothed load speed, measured on this upstream. */
  readonly loadBytesPerMs: number;
  /** False if the engine sends no reports, or reports no memory: it decides itself what it serves. */
  readonly isManaged: boolean;
  /** True once the upstream is draining: no new pins, no new loads. */
  readonly isLeaving: boolean;
}
