/** Demand for one model that the plan is made for. */
export interface Demand {
  /** Requests in a second. */
  readonly perSecond: number;
  /** Time that one request takes of a slot, in ms. */
  readonly serviceTimeMs: number;
}
