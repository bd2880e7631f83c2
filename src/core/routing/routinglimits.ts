/** Constants of routing, in ms where not said otherwise. */
export const routingLimits = {
  /** Time in which a load report loses 63% of its worth. */
  loadDecayMs: 2_000,
  /** Time over which a replica that has just appeared takes its full part. */
  slowStartMs: 5_000,
  /** Part of its slots that a replica starts with. */
  slowStartShare: 0.1,
  /** Times the mean load up to which an upstream takes requests for the sake of their prefix. */
  affinityBound: 0.8,
  /** Relative load below which affinity is never given up. */
  affinityFloor: 0.2,
  /** Relative load from which a request leaves its own availability zone. */
  spillLoad: 0.5,
  /** Prefixes that are remembered. */
  warmthEntries: 4_096,
  /** Time after which a remembered prefix counts half. */
  warmthHalfLifeMs: 60_000,
  /** Score from which a prefix counts as cached. */
  warmthThreshold: 0.25,
  /** Retries that may be saved up. */
  retryTokens: 50,
  /** Retries that one answer earns. */
  retryShare: 0.2,
  /** Expected load time per byte before any load was seen: 2 s for 10 GB. */
  loadMsPerByte: 2e-7,
  shortestLoadMs: 500,
  /** Upstreams that are asked for one load before the request is refused. */
  rescueAsks: 4,
  /** Time for which a model is in memory before it makes way for one that is nowhere. */
  shareMs: 20_000,
  /** Time that a sidecar has to answer a request for a load. */
  rescueAnswerMs: 2_000,
  /** Time past the expected end after which a load is given up. */
  rescueGraceMs: 5_000,
  /** When to come back if nothing better is known. */
  retryAfterMs: 1_000,
  /** Time after which a request whose end nobody told is forgotten. */
  forgetMs: 900_000,
  /** Time that one trial request of a half-open breaker may take. */
  trialMs: 5_000,
};
