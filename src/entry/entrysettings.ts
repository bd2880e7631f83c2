import type { HostListSettings } from '../shell/hosts/index.js';
import type { StoreSettings } from '../shell/store/index.js';
import type { KeySettings, PeerSettings } from '../shell/tls/index.js';
import type { EntryLimits } from './entrylimits.js';

/** Settings of an entry. Addresses consist of an IP address and a port. */
export interface EntrySettings {
  readonly hostId: string;
  readonly region: string;
  readonly availabilityZone: string;
  /** Address of the HTTP listener for callers. */
  readonly listen: { readonly host: string; readonly port: number };
  /**
   * IP address and port of the gRPC listener for other processes, as the host list shows it. Without it this entry
   * pulls records from its peers, but they cannot push records to it.
   */
  readonly meshListen?: string | null;
  /** The platform's host list; without it this entry has no peers. */
  readonly hostList?: HostListSettings | null;
  /** Files of service documents that are read at the start, for trials without a store. */
  readonly documents?: string[];
  readonly logLevel: string;
  /** How long a planned stop may wait for requests in flight. */
  readonly drainTimeoutMs: number;
  /** Largest accepted request body. */
  readonly bodyBytes: number;
  /** The platform's key-value service; without it, documents come from files and nothing is stored. */
  readonly store?: StoreSettings | null;
  /** HTTPS for callers; without it, the listener accepts plain HTTP. */
  readonly tls?: KeySettings | null;
  /** Mutual TLS with sidecars and other entries. */
  readonly peerTls?: PeerSettings | null;
  /** Store writes per second that this entry may spend on `Idempotency-Key`s; 40 by default. */
  readonly keyWritesPerSecond?: number;
  /** StatsD server that receives the metrics; without it none are sent. */
  readonly statsd?: { readonly host: string; readonly port: number } | null;
  /** Limits on callers; omitted ones take their default. */
  readonly limits?: Partial<EntryLimits>;
}
