import type { ContentId } from '../../base/index.js';

/** Asks the order lease holder for permission to run a suspected request, or reports that the run is over. */
export interface TrialRequest {
  readonly content: ContentId;
  readonly entry: string;
  readonly isOver: boolean;
}
