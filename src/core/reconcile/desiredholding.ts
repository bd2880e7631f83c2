import type { AdapterId, ModelId } from '../../base/index.js';
import type { HoldingKey } from '../ledger/index.js';

/** A model or adapter that should be in memory. */
export interface DesiredHolding {
  readonly key: HoldingKey;
  readonly model: ModelId;
  readonly version: string;
  readonly adapter?: AdapterId;
  readonly sizeBytes: number;
  /** Higher is loaded first. */
  readonly urgency: number;
}
