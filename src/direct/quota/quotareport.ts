import type { CustomerId } from '../../base/index.js';

/** What one entry tells the holder of quotas, with its report of demand. */
export interface QuotaReport {
  readonly customers: readonly {
    readonly customer: CustomerId;
    /** Asked for since the last report. */
    readonly wanted: number;
    readonly held: number;
    /** Held until now, and given back with this. */
    readonly returned: number;
  }[];
}
