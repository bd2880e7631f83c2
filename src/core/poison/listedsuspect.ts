import type { Suspect } from './suspect.js';
import type { Verdict } from './verdict.js';

/** A suspect with the verdict of the entry that lists it. */
export interface ListedSuspect extends Suspect {
  readonly verdict: Verdict;
}
