/** Times of the right to give orders, in ms. */
export const turnLimits = {
  /** A holder that has not renewed for this long has lost the right: two renewals may fail before. */
  ttlMs: 2200,
  renewEveryMs: 600,
  /** An order is given up after this; until then it may still arrive, so the right ends that much sooner. */
  orderTimeoutMs: 600,
  /** Covers the time between a write and the moment at which the writer hears of it. */
  marginMs: 150,
} as const;
