import type { Ms } from '../base/index.js';

/** Limits of the rate-limited store of model weights. Engines read from it directly. */
export interface WeightStore {
  /** Loads that may start per second, over all upstreams of the deployment. */
  readonly loadsPerSecond: number;
  /** Loads that can run in parallel at full speed. */
  readonly parallelLoads: number;
  /** Expected time to load `sizeBytes` while the store is not congested. */
  loadMs(sizeBytes: number): Ms;
}
