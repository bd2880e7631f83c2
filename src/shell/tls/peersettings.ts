import type { KeySettings } from './keysettings.js';

/** Mutual TLS between the system's own processes. */
export interface PeerSettings extends KeySettings {
  readonly caFile: string;
  /** Common names that a peer's certificate may carry, whichever end opened the connection. */
  readonly allowedNames: string[];
}
