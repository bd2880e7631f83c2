import type { TraitId } from '../../base/index.js';

/** Asks the order lease holder for permission to run a request with suspected traits, or reports that it is over. */
export interface TrialRequest {
  readonly traits: readonly TraitId[];
  readonly entry: string;
  readonly isOver: boolean;
}
