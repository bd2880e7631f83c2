import type { ModelId, Ms, UpstreamId } from '../../base/index.js';

/** A change of what an upstream holds: first the models that make room go, then the load. */
export interface Move {
  readonly upstream: UpstreamId;
  readonly model: ModelId;
  readonly evicted: readonly ModelId[];
  readonly loadMs: Ms;
  readonly isFromStore: boolean;
  readonly gain: number;
  readonly cost: number;
}
