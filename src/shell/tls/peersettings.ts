import type { KeySettings } from './keysettings.js';

/** Settings of mutual TLS between the system's processes. */
export interface PeerSettings extends KeySettings {
  readonly caFile: string;
  /** Common names accepted in a peer's certificate, whichever end opened the connection. */
  readonly allowedNames: string[];
}
