/** Times of the planner's lease, in ms. */
export const leaseLimits = {
  ttlMs: 15_000,
  /** Between renewals of a holder. */
  renewEveryMs: 5_000,
  /** Between looks at the key of an entry that may plan but does not. */
  watchEveryMs: 5_000,
};
