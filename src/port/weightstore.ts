import type { Ms } from '../base/index.js';

/** What the system may assume of the rate-limited store of weights. Engines read it themselves. */
export interface WeightStore {
  /** Loads that may begin in a second, over all upstreams of the deployment. */
  readonly loadsPerSecond: number;
  /** Loads that run at full speed side by side. */
  readonly parallelLoads: number;
  /** Expected time to load so many bytes when the store is not crowded. */
  loadMs(sizeBytes: number): Ms;
}
