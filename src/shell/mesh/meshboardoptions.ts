import type { ChannelCredentials } from '@grpc/grpc-js';
import type { Clock, HostId, Ms } from '../../base/index.js';
import type { MeshOptions } from '../../core/mesh/index.js';
import type { HostList, KeyValueStore, Log, Metrics } from '../../port/index.js';

/** Options of a process's board. */
export interface MeshBoardOptions {
  readonly hostId: HostId;
  readonly region: string;
  readonly role: 'entry' | 'sidecar';
  /** Keys that this process holds; empty, the default, means all. */
  readonly interests?: readonly string[];
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly store: KeyValueStore;
  /** False when `store` only stands in for an absent one. */
  readonly hasStore: boolean;
  /** Without one this process is alone. */
  readonly hostList?: HostList;
  /** Time between two readings of the host list; 5000 by default. */
  readonly hostListPollMs?: Ms;
  /** Called each time that the host list is read and shows this host as leaving. */
  readonly onLeaving?: () => void;
  /** Seed of the choice of peers. */
  readonly seed: number;
  /** Longest wait for a peer's answer; 300 by default. */
  readonly callTimeoutMs?: Ms;
  /** How peers are met; unauthenticated by default. */
  readonly credentials?: ChannelCredentials;
  readonly tuning?: Partial<MeshOptions>;
}
