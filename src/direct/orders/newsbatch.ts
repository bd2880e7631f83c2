import type { ModelId, UpstreamId } from '../../base/index.js';
import type { NewsMark } from './newsmark.js';

/** What an order has just changed at an upstream. */
interface PlaceChange {
  readonly upstream: UpstreamId;
  readonly model: ModelId;
  /** Absent where the model itself goes. */
  readonly adapter?: string;
  readonly isThere: boolean;
}

/** What is new since a mark. */
export interface NewsBatch extends NewsMark {
  readonly changes: readonly PlaceChange[];
}
