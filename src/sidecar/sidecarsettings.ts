import type { HostListSettings } from '../shell/hosts/index.js';
import type { StoreSettings } from '../shell/store/index.js';
import type { PeerSettings } from '../shell/tls/index.js';
import type { TableSettings } from './tablesettings/index.js';

/** Settings of a sidecar. Addresses are IP numbers with a port. */
export interface SidecarSettings {
  readonly upstream: string;
  readonly service: string;
  readonly hostId: string;
  readonly region: string;
  readonly availabilityZone: string;
  /** Where entries reach this sidecar. */
  readonly listen: string;
  readonly upstreamUrl: string;
  readonly upstreamType: 'engine' | 'plain';
  readonly logLevel: string;
  /** How long a planned stop may wait for what is in flight. */
  readonly drainTimeoutMs: number;
  /** Most bytes of KV cache that a planned stop hands on; 0 for none. Defaults to 64 MiB. */
  readonly cacheHandOverBytes?: number;
  readonly slots: number;
  readonly statsd: { readonly host: string; readonly port: number } | null;
  /** The platform's list of hosts; without it this sidecar has no peers and gets no document. */
  readonly hostList?: HostListSettings | null;
  /** The platform's key-value service; without it, documents come from files and nothing is kept. */
  readonly store?: StoreSettings | null;
  /** Mutual TLS: with it, only peers that it allows are given work or taken at their word. */
  readonly peerTls?: PeerSettings | null;
  /** Bounds of the run-once table; those not given take their default. */
  readonly tickets?: Partial<TableSettings>;
}
