import type { ModelId, Ms, UpstreamId } from '../../base/index.js';

/** A change to an upstream's models: unloads `evicted`, then loads `model`. */
export interface Move {
  readonly upstream: UpstreamId;
  readonly model: ModelId;
  readonly evicted: readonly ModelId[];
  readonly loadMs: Ms;
  readonly isFromStore: boolean;
  readonly gain: number;
  readonly cost: number;
}
