import type { ContentId } from '../../base/index.js';

/** An entry asks the holder of orders to run a suspected request, or says that it has ended. */
export interface TrialQuestion {
  readonly content: ContentId;
  readonly entry: string;
  readonly isOver: boolean;
}
