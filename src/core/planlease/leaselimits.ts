/** Timing of the planner lease, in ms. */
export const leaseLimits = {
  ttlMs: 15_000,
  /** Interval between renewals by the lease holder. */
  renewEveryMs: 5_000,
  /** Interval at which other candidates read the key. */
  watchEveryMs: 5_000,
};
