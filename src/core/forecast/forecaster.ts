import type { Ms } from '../../base/index.js';

/** Foretells a rate from a row of measured ones. Pure: the state is passed and returned. */
export interface Forecaster<State> {
  readonly start: State;
  /** Takes the mean rate over the time since the last call. */
  observe(state: State, rate: number, elapsedMs: Ms): State;
  /** The rate to plan for, up to `aheadMs` from the last observation. */
  predict(state: State, aheadMs: Ms): number;
}
