import type { Suspect } from '../../core/poison/index.js';
import type { SuspectCursor } from './suspectcursor.js';

/** Changes in an entry's suspect table, up to the cursor that comes with them. */
export interface SuspectBatch extends SuspectCursor {
  readonly suspects: readonly Suspect[];
}
