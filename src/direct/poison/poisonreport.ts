import type { SuspectBatch } from './suspectbatch.js';
import type { SuspectCursor } from './suspectcursor.js';

/** What an entry reports to the order lease holder about suspected requests. */
export interface PoisonReport {
  /** How much of the holder's table the entry has received. */
  readonly heard: SuspectCursor | undefined;
  /** Changes that the holder has not acknowledged yet; absent if there are none. */
  readonly news?: SuspectBatch;
}
