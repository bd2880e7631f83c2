/** Forecast demand for one model. */
export interface Demand {
  /** Requests per second. */
  readonly perSecond: number;
  /** Time for which one request occupies a slot, in ms. */
  readonly serviceTimeMs: number;
}
