import type { WeightLoad } from './weightload.js';

/** State of the weight store at a point in time. */
export interface WeightState {
  readonly atMs: number;
  readonly nextId: number;
  /** Start time of the latest load, which may be in the future. */
  readonly lastStartAtMs: number;
  readonly loads: readonly WeightLoad[];
}
