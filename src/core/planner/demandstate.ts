import type { ModelId } from '../../base/index.js';

/** What sidecars have counted for each model, and the forecasts made of it. */
export interface DemandState {
  /** Last counters, by upstream, incarnation and model. */
  readonly counted: ReadonlyMap<
    string,
    { readonly askedCount: number; readonly refusedCount: number; readonly serviceTimeMs: number }
  >;
  readonly models: ReadonlyMap<
    ModelId,
    {
      /** State of the forecaster of requests a second. */
      readonly rate: object;
      /** Smoothed time that one request takes of a slot, in ms. */
      readonly serviceTimeMs: number;
    }
  >;
}
