import type { ModelId } from '../../base/index.js';
import type { Placed } from './placed.js';

/** The plan of a cell: which upstream should hold which model. */
export interface CellPlan {
  /** All planned replicas, including those already in memory. */
  readonly placed: readonly Placed[];
  /** Loads to order now, the most urgent first: a subset of `placed`. */
  readonly loads: readonly Placed[];
  /** New replicas whose loads exceed the weight store's limit at present. */
  readonly waiting: readonly Placed[];
  /** Resident replicas that may be evicted when their memory is needed. */
  readonly dropped: readonly Pick<Placed, 'upstream' | 'model'>[];
  /** Models that fit on no upstream at present. */
  readonly unplaced: readonly ModelId[];
}
