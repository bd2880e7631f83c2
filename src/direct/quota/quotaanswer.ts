import type { CustomerId } from '../../base/index.js';

/** The quota holder's answer to an entry's report. */
export interface QuotaAnswer {
  /** Number of equal parts of a rate; an entry without contact to the holder uses one part. */
  readonly parts: number;
  readonly grants: readonly {
    readonly customer: CustomerId;
    readonly granted: number;
    /** Nothing is left: asking before the next report is useless. */
    readonly isEmpty: boolean;
    readonly retryAfterMs: number;
  }[];
}
