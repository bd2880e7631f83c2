import type { CellModel, CellUpstream } from '../placement/index.js';
import type { Counter } from './counter.js';

/** The state of a cell that one planning round reads. */
export interface Cell {
  readonly models: readonly CellModel[];
  readonly upstreams: readonly CellUpstream[];
  readonly counters: readonly Counter[];
  readonly movePenalty: number;
  /** Loads per second that may start from the weight store. */
  readonly loadsPerSecond: number;
  /** Concurrent loads that the weight store serves at full speed. */
  readonly parallelLoads: number;
}
