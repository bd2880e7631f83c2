/** Bounds of what is kept about requests that may end upstreams. */
export const poisonLimits = {
  /** An upstream that crashed leaves the list after three missed entries, 3.6 s, and the list's lag. */
  leavesListMs: 6000,
  /**
   * Requests that are kept in mind; the one that changed longest ago goes first. Each takes 0.5 kB (heap, 4,000 of them), and each end of
   * an upstream adds about a dozen.
   */
  mostSuspects: 4000,
  /** Verdicts that are kept; each has cost two upstreams at least. */
  mostPoison: 1000,
  /** One that nothing speaks against any more is kept this long, so that all entries hear of it. */
  clearedKeptMs: 60_000,
  /** Under which one upstream ended: kept as long as a caller may take to come back to it. */
  suspectKeptMs: 3_600_000,
  /** Requests told of in one message: 51 kB of JSON. */
  mostInBatch: 200,
} as const;
