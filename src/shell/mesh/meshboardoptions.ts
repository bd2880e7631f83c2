import type { ChannelCredentials } from '@grpc/grpc-js';
import type { Clock, HostId, Ms } from '../../base/index.js';
import type { MeshOptions } from '../../core/mesh/index.js';
import type { HostList, KeyValueStore, Log, Metrics } from '../../port/index.js';

/** Options of a `MeshBoard`. */
export interface MeshBoardOptions {
  readonly hostId: HostId;
  readonly region: string;
  readonly role: 'entry' | 'sidecar';
  /** Keys of the records that this process keeps; empty, the default, means all. */
  readonly interests?: readonly string[];
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly store: KeyValueStore;
  /** False if no store is configured and `store` fails every call. */
  readonly hasStore: boolean;
  /** Source of peer addresses; without it this process replicates with nobody. */
  readonly hostList?: HostList;
  /** Polling interval of the host list; 5000 by default. */
  readonly hostListPollMs?: Ms;
  /** Called after each read of the host list that shows this host as leaving. */
  readonly onLeaving?: () => void;
  /** Seed of the random choice of peers. */
  readonly seed: number;
  /** Timeout of a call to a peer; 300 by default. */
  readonly callTimeoutMs?: Ms;
  /** Credentials of calls to peers; unauthenticated by default. */
  readonly credentials?: ChannelCredentials;
  readonly tuning?: Partial<MeshOptions>;
}
