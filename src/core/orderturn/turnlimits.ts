/** Times of the right to give orders, in ms. */
export const turnLimits = {
  /** A holder that has not renewed for this long has lost the right: three renewals may fail before. */
  ttlMs: 3000,
  renewEveryMs: 800,
  /** An order is given up after this; until then it may still arrive, so the right ends that much sooner. */
  orderTimeoutMs: 800,
  /** Covers the time between a write and the moment at which the writer hears of it. */
  marginMs: 200,
} as const;
