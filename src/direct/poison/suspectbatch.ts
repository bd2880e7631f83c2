import type { Suspect } from '../../core/poison/index.js';
import type { SuspectMark } from './suspectmark.js';

/** What has changed in an entry's memory, up to its mark. */
export interface SuspectBatch extends SuspectMark {
  readonly suspects: readonly Suspect[];
}
