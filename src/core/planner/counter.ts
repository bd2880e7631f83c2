import type { Incarnation, ModelId, UpstreamId } from '../../base/index.js';

/** Counters of one sidecar for one model, cumulative since the sidecar started. */
export interface Counter {
  readonly upstream: UpstreamId;
  readonly incarnation: Incarnation;
  readonly model: ModelId;
  readonly askedCount: number;
  readonly refusedCount: number;
  readonly serviceTimeMs: number;
}
