/** Bounds of the data that is kept about requests that may crash upstreams. */
export const poisonLimits = {
  /** A crashed upstream leaves the list after three missed renewals (3.6 s) and the propagation delay of the list. */
  listLapseMs: 6000,
  /**
   * Suspected traits that are kept; the one that changed longest ago is evicted first. Each takes 0.5 kB of heap (at 4,000
   * traits), and each crash of an upstream adds about a dozen.
   */
  maxSuspects: 4000,
  /** Traits with enough evidence for a verdict that are kept; each has cost at least two upstreams. */
  maxPoison: 1000,
  /** Crashes that are kept against one trait: more than any verdict needs. */
  maxCrashes: 32,
  /** A cleared trait is kept this long, so that all entries learn that it was cleared. */
  clearedRetentionMs: 60_000,
  /** A suspected trait is kept for as long as a caller may take to retry a request. */
  suspectRetentionMs: 3_600_000,
  /** Suspects in one message: 23 kB of JSON, which must not hold up the quota and loads in the same message. */
  maxBatchSize: 64,
  /** Parts that are known to have run well; each takes 0.3 kB of heap. The one proven longest ago is evicted first. */
  maxProofs: 20_000,
  proofRetentionMs: 600_000,
  /** Short answers of one upstream that may still turn out to have crashed it. */
  maxEndedRuns: 64,
} as const;
