import type { Suspect } from '../../core/poison/index.js';
import type { SuspectCursor } from './suspectcursor.js';

/** Changes in an entry's suspect table, up to the cursor in the same message. */
export interface SuspectBatch extends SuspectCursor {
  readonly suspects: readonly Suspect[];
}
