import type { Incarnation, ModelId, UpstreamId } from '../../base/index.js';

/** What one sidecar has counted for one model since it started. */
export interface Counter {
  readonly upstream: UpstreamId;
  readonly incarnation: Incarnation;
  readonly model: ModelId;
  readonly askedCount: number;
  readonly refusedCount: number;
  readonly serviceTimeMs: number;
}
