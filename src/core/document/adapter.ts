import type { AdapterId, ModelId } from '../../base/index.js';

/** An adapter on top of one model. Callers name it in place of the model. */
export interface Adapter {
  readonly id: AdapterId;
  readonly model: ModelId;
  readonly sizeBytes: number;
}
