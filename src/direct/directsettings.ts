import type { HostId, Ms } from '../base/index.js';
import type { QuotaTerms } from '../core/quota/index.js';

/** Settings of a direct entry that do not depend on how its platform speaks. */
export interface DirectSettings {
  readonly host: HostId;
  readonly availabilityZone: string;
  /** Processor of this host, in cores. */
  readonly cores: number;
  /** IP number and port for calls from other entries. */
  readonly peerListen: { readonly host: string; readonly port: number };
  /** Repeats that all entries may make: a part of the requests in a window, and some more. */
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMs: Ms;
  /** How long the holder of orders before may count as active after its last order. */
  readonly orderTurnMs: Ms;
  /** Window and excess of the bound on loads from the weight store. */
  readonly loadWindowMs: Ms;
  readonly loadOvershoot: number;
  /** How long a request that ends upstreams is refused, from the first that ended under it. */
  readonly poisonKeepMs: Ms;
  /** How exactly quotas of customers have to hold over all entries. */
  readonly quotaTerms: QuotaTerms;
  /** An entry that may not know of keys that were removed so long ago serves no keys; absent where it goes on. */
  readonly strictRevokeMs?: Ms;
  /** How long a stopping process may take. */
  readonly graceMs: Ms;
}
