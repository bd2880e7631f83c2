import type { CustomerId } from '../../base/index.js';

/** What an entry reports to the quota holder, as part of its demand report. */
export interface QuotaReport {
  readonly customers: readonly {
    readonly customer: CustomerId;
    /** Demand since the last report. */
    readonly wanted: number;
    readonly held: number;
    /** Held until now, and returned with this report. */
    readonly returned: number;
  }[];
}
