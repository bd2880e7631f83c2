import type { AdapterId, ModelId } from '../../base/index.js';

/** An adapter of one model. Callers name it instead of the model. */
export interface Adapter {
  readonly id: AdapterId;
  readonly model: ModelId;
  readonly sizeBytes: number;
}
