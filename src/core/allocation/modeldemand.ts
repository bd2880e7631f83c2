import type { Ms } from '../../base/index.js';

/** Demand for one model, summed over all entries. */
export interface ModelDemand {
  /** Average number of requests that run or wait. */
  readonly concurrency: number;
  /** Expected requests per second. */
  readonly perSecond: number;
  /** Requests that wait because no upstream holds the model. */
  readonly waiting: number;
  /** Requests of the last seconds that found no replica. */
  readonly missed: number;
  /** Distinct adapters of the model that were requested recently. */
  readonly adaptersInUse: number;
  /** How long it has been requested while no upstream had it ready. */
  readonly absentMs: Ms;
  /** Software versions at which streams of the model wait to be continued; absent: none. */
  readonly continuedAt?: ReadonlySet<string>;
  /** Time since the last request. */
  readonly idleMs: Ms;
}
