import type { CellModel, CellUpstream } from '../placement/index.js';
import type { Counter } from './counter.js';

/** A cell as the planner sees it in one round. */
export interface Cell {
  readonly models: readonly CellModel[];
  readonly upstreams: readonly CellUpstream[];
  readonly counters: readonly Counter[];
  readonly movePenalty: number;
  /** Loads that the weight store lets begin in a second. */
  readonly loadsPerSecond: number;
  /** Loads that it serves side by side at full speed. */
  readonly parallelLoads: number;
}
