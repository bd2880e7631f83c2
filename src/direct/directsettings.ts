import type { HostId, Ms } from '../base/index.js';
import type { LoadAwareSetting } from '../core/loadmode/index.js';
import type { QuotaTerms } from '../core/quota/index.js';

/** Settings of a direct entry that do not depend on its platform's protocols. */
export interface DirectSettings {
  readonly host: HostId;
  readonly availabilityZone: string;
  /** Processor cores of this host. */
  readonly cores: number;
  /** IP address and port for calls from other entries. */
  readonly peerListen: { readonly host: string; readonly port: number };
  /** Retry budget of all entries together: a ratio of the requests in a window, plus a constant. */
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMs: Ms;
  /** How often upstreams write their records to the list. */
  readonly heartbeatMs: Ms;
  /** How long a previous order lease holder may count as active after its last order. */
  readonly orderTurnMs: Ms;
  /** Window and permitted excess of the limit on loads from the weight store. */
  readonly loadWindowMs: Ms;
  readonly loadOvershoot: number;
  /** How long a query of death is refused, counted from the first upstream that ended under it. */
  readonly poisonKeepMs: Ms;
  /** Which services are served with queues, forecasts and shared loads; absent: `auto`. */
  readonly loadAware?: LoadAwareSetting;
  /** How precisely customers' quotas have to hold over all entries. */
  readonly quotaTerms: QuotaTerms;
  /** An entry whose state of the store may be older than this accepts no keys; absent if it continues to serve. */
  readonly strictRevokeMs?: Ms;
  /** Grace period of a planned stop. */
  readonly graceMs: Ms;
}
