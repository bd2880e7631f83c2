import type { Ms } from '../../base/index.js';

/** Forecasts a rate from a series of observations. Pure: the state is passed in and returned. */
export interface Forecaster<State> {
  readonly start: State;
  /** Adds an observation: the mean rate over the time since the last call. */
  observe(state: State, rate: number, elapsedMs: Ms): State;
  /** Returns the rate to plan for, up to `aheadMs` after the last observation. */
  predict(state: State, aheadMs: Ms): number;
}
