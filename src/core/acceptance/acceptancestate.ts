import type { Swap } from '../../port/index.js';
import type { AuditEntry, Hash } from '../audit/index.js';
import type { Change } from './change.js';

/** State of writing one change to the store. */
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
  /** Maximum number of audit entries in the stored value. */
  readonly auditLimit: number;
  /** The compare-and-swap that was sent; repeated attempts send it unchanged. */
  readonly swap?: Swap;
  /** The audit entry that the swap adds. */
  readonly entry?: AuditEntry;
  /** Retry delays since the answer to the swap was lost. */
  readonly waits: number;
}
