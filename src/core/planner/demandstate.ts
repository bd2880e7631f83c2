import type { ModelId } from '../../base/index.js';

/** The last demand counters of the sidecars, and the forecast state of each model. */
export interface DemandState {
  /** Last counters, by upstream, incarnation and model. */
  readonly counted: ReadonlyMap<
    string,
    { readonly askedCount: number; readonly refusedCount: number; readonly serviceTimeMs: number }
  >;
  readonly models: ReadonlyMap<
    ModelId,
    {
      /** Forecaster state for requests per second. */
      readonly rate: object;
      /** Smoothed time for which one request occupies a slot, in ms. */
      readonly serviceTimeMs: number;
    }
  >;
}
