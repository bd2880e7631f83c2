import type { AdapterId, ModelId } from '../../base/index.js';
import type { HoldingKey } from './holdingkey.js';

/** A model or adapter in memory according to the engine's last report. */
export interface Holding {
  readonly key: HoldingKey;
  readonly model: ModelId;
  readonly version: string;
  /** Absent for a model itself. */
  readonly adapter?: AdapterId;
  readonly sizeBytes: number;
  readonly phase: 'loading' | 'ready' | 'unloading';
}
