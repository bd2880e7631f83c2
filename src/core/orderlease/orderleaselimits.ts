/** Times of the order lease, in ms. */
export const orderLeaseLimits = {
  /** Validity of a renewal: two renewals in a row may fail before the lease expires. */
  ttlMs: 2200,
  renewEveryMs: 600,
  /** Time-out of an order. It may arrive until then, so that sending stops this long before the lease expires. */
  orderTimeoutMs: 600,
  /** Covers the delay between a write and the moment at which the writer learns of it. */
  marginMs: 150,
} as const;
