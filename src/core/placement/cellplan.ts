import type { ModelId } from '../../base/index.js';
import type { Placed } from './placed.js';

/** A plan of a cell: where each model should be. */
export interface CellPlan {
  /** Every place, those that are there already among them. */
  readonly placed: readonly Placed[];
  /** Loads that go out now, the most urgent first: a part of `placed`. */
  readonly loads: readonly Placed[];
  /** New places whose loads have to wait for the weight store. */
  readonly waiting: readonly Placed[];
  /** Residents that the plan gives up when their memory is needed. */
  readonly dropped: readonly Pick<Placed, 'upstream' | 'model'>[];
  /** Models that fit nowhere at present. */
  readonly unplaced: readonly ModelId[];
}
