/** Bounds of the data that is kept about requests that may crash upstreams. */
export const poisonLimits = {
  /** A crashed upstream leaves the list after three missed renewals (3.6 s) and the propagation delay of the list. */
  listLapseMs: 6000,
  /**
   * Requests that are kept; the one that changed longest ago is evicted first. Each takes 0.5 kB of heap (at 4,000
   * requests), and each crash of an upstream adds about a dozen.
   */
  maxSuspects: 4000,
  /** Poison verdicts that are kept; each has cost at least two upstreams. */
  maxPoison: 1000,
  /** A cleared request is kept this long, so that all entries learn that it was cleared. */
  clearedRetentionMs: 60_000,
  /** A suspected request is kept for as long as a caller may take to retry it. */
  suspectRetentionMs: 3_600_000,
  /** Requests in one message: 51 kB of JSON. */
  maxBatchSize: 200,
} as const;
