import type { Swap } from '../../port/index.js';
import type { AuditEntry, Hash } from '../audit/index.js';
import type { Change } from './change.js';

/** One change on its way into the store. */
export interface AcceptanceState {
  readonly phase:
    | 'reading'
    | 'swapping'
    | 'readingBack'
    | 'waiting'
    | 'swappingAgain'
    | 'accepted'
    | 'refused'
    | 'unknown';
  readonly change: Change;
  readonly hash: Hash;
  /** Entries that the stored value keeps. */
  readonly auditLimit: number;
  /** The swap that was sent, and is sent again unchanged. */
  readonly swap?: Swap;
  /** The entry that the swap would add. */
  readonly entry?: AuditEntry;
  /** Waits since the answer was lost. */
  readonly waits: number;
}
