import type { CustomerId } from '../../base/index.js';

/** What the holder of quotas tells an entry that has reported. */
export interface QuotaAnswer {
  /** Into how many parts a rate is cut for entries that hear of no holder. */
  readonly parts: number;
  readonly grants: readonly {
    readonly customer: CustomerId;
    readonly granted: number;
    /** Nothing is left: it is of no use to ask before the next report. */
    readonly isEmpty: boolean;
    readonly retryAfterMs: number;
  }[];
}
