import type { ModelId, UpstreamId } from '../../base/index.js';
import type { ResidencyCursor } from './residencycursor.js';

/** A change of an upstream's residency by an order. */
interface ResidencyChange {
  readonly upstream: UpstreamId;
  readonly model: ModelId;
  /** Absent if the model itself is unloaded. */
  readonly adapter?: string;
  readonly isThere: boolean;
}

/** Residency changes since a cursor, and the new cursor. */
export interface ResidencyUpdate extends ResidencyCursor {
  readonly changes: readonly ResidencyChange[];
}
