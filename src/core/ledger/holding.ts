import type { AdapterId, ModelId } from '../../base/index.js';
import type { HoldingKey } from './holdingkey.js';

/** A model or adapter that the engine's last report shows in memory. */
export interface Holding {
  readonly key: HoldingKey;
  readonly model: ModelId;
  readonly version: string;
  /** Absent for a model itself. */
  readonly adapter?: AdapterId;
  readonly sizeBytes: number;
  readonly phase: 'loading' | 'ready' | 'unloading';
}
