import type { HostListSettings } from '../shell/hosts/index.js';
import type { StoreSettings } from '../shell/store/index.js';
import type { PeerSettings } from '../shell/tls/index.js';
import type { TableSettings } from './tablesettings/index.js';

/** Settings of a sidecar. Addresses consist of an IP address and a port. */
export interface SidecarSettings {
  readonly upstream: string;
  readonly service: string;
  readonly hostId: string;
  readonly region: string;
  readonly availabilityZone: string;
  /** Address at which entries connect to this sidecar. */
  readonly listen: string;
  readonly upstreamUrl: string;
  readonly upstreamType: 'engine' | 'plain';
  readonly logLevel: string;
  /** Maximum time that a planned stop waits for requests in flight. */
  readonly drainTimeoutMs: number;
  /** Maximum bytes of KV caches that a planned stop hands over; 0 turns it off. Defaults to 64 MiB. */
  readonly cacheHandOverBytes?: number;
  readonly slots: number;
  readonly statsd: { readonly host: string; readonly port: number } | null;
  /** The platform's host list. Without it the sidecar has no peers and receives no document. */
  readonly hostList?: HostListSettings | null;
  /** The platform's key-value service. Without it, documents come from files and nothing is persisted. */
  readonly store?: StoreSettings | null;
  /** Mutual TLS. If set, requests go only to the peers that it allows, and only their messages are accepted. */
  readonly peerTls?: PeerSettings | null;
  /** Limits of the run-once table. Missing ones take their defaults. */
  readonly tickets?: Partial<TableSettings>;
}
