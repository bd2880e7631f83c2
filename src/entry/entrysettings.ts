import type { StoreSettings } from '../shell/store/index.js';

/** Settings of an entry. Addresses are IP numbers with a port. */
export interface EntrySettings {
  readonly hostId: string;
  readonly region: string;
  readonly availabilityZone: string;
  /** Where callers reach this entry. */
  readonly listen: { readonly host: string; readonly port: number };
  /** Service documents to serve from. */
  readonly documents: string[];
  readonly logLevel: string;
  /** How long a planned stop may wait for what is in flight. */
  readonly drainTimeoutMs: number;
  /** Largest request body that is read. */
  readonly bodyBytes: number;
  /** The platform's key-value service; without it, documents come from files and nothing is kept. */
  readonly store?: StoreSettings | null;
}
