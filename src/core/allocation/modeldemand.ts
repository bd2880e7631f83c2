import type { Ms } from '../../base/index.js';

/** What is asked of one model, over all entries. */
export interface ModelDemand {
  /** Requests at upstreams and waiting, averaged. */
  readonly concurrency: number;
  /** Requests in a second, as expected now. */
  readonly perSecond: number;
  /** Requests that wait for it now because no upstream holds it. */
  readonly waiting: number;
  /** Requests that found it nowhere, of the last seconds. */
  readonly missed: number;
  /** Different adapters of it that were asked for lately. */
  readonly adaptersInUse: number;
  /** How long it has been asked for while no upstream had it ready. */
  readonly absentMs: Ms;
  /** Since the last request. */
  readonly idleMs: Ms;
}
