import type { SuspectBatch } from './suspectbatch.js';
import type { SuspectMark } from './suspectmark.js';

/** What an entry tells the holder of orders about suspected requests. */
export interface PoisonReport {
  /** How far the entry has heard of what the holder knows. */
  readonly heard: SuspectMark | undefined;
  /** What the holder has not heard from the entry yet; absent if there is nothing. */
  readonly news?: SuspectBatch;
}
