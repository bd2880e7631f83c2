import type { HostListSettings } from '../shell/hosts/index.js';
import type { StoreSettings } from '../shell/store/index.js';
import type { KeySettings, PeerSettings } from '../shell/tls/index.js';
import type { EntryLimits } from './entrylimits.js';

/** Settings of an entry. Addresses are IP numbers with a port. */
export interface EntrySettings {
  readonly hostId: string;
  readonly region: string;
  readonly availabilityZone: string;
  /** Where callers reach this entry. */
  readonly listen: { readonly host: string; readonly port: number };
  /**
   * IP number and port of the gRPC listener by which other processes reach this entry, as the host list
   * shows it; without it this entry only asks others and is told nothing.
   */
  readonly meshListen?: string | null;
  /** The platform's list of hosts; without it this entry has no peers. */
  readonly hostList?: HostListSettings | null;
  /** Documents read from files at the start, for trials without a store. */
  readonly documents?: string[];
  readonly logLevel: string;
  /** How long a planned stop may wait for what is in flight. */
  readonly drainTimeoutMs: number;
  /** Largest request body that is read. */
  readonly bodyBytes: number;
  /** The platform's key-value service; without it, documents come from files and nothing is kept. */
  readonly store?: StoreSettings | null;
  /** HTTPS for callers; without it, the listener speaks plain HTTP. */
  readonly tls?: KeySettings | null;
  /** Mutual TLS towards sidecars and other entries. */
  readonly peerTls?: PeerSettings | null;
  /** Writes to the store that `Idempotency-Key`s may take in a second at this entry; 40 by default. */
  readonly keyWritesPerSecond?: number;
  /** Where metrics go; without it none are sent. */
  readonly statsd?: { readonly host: string; readonly port: number } | null;
  /** Bounds on callers; those not given take their default. */
  readonly limits?: Partial<EntryLimits>;
}
