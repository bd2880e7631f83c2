/** Constants of routing. Names that end in `Ms` are in ms. */
export const routingLimits = {
  /** Time constant with which the weight of a load report decays: it loses 63% in this time. */
  loadDecayMs: 2_000,
  /** Time over which a new replica ramps up to its full share of requests. */
  slowStartMs: 5_000,
  /** Fraction of its slots with which a new replica starts. */
  slowStartShare: 0.1,
  /** Prefix affinity applies to upstreams whose load is at most this multiple of the mean load. */
  affinityBound: 0.8,
  /** Relative load below which prefix affinity always applies. */
  affinityFloor: 0.2,
  /** Relative load from which requests spill over to other availability zones. */
  spillLoad: 0.5,
  /** Maximum number of remembered prefixes. */
  prefixEntries: 4_096,
  /** Half-life of the score of a remembered prefix. */
  prefixHalfLifeMs: 60_000,
  /** Score from which a prefix counts as cached. */
  prefixThreshold: 0.25,
  /** Maximum number of accumulated retry tokens; each retry takes one. */
  retryTokens: 50,
  /** Retry tokens earned by one answer. */
  retryShare: 0.2,
  /** Expected load time per byte before any load was observed: 2 s for 10 GB. */
  loadMsPerByte: 2e-7,
  shortestLoadMs: 500,
  /** Maximum number of upstreams asked for one on-demand load before the request is refused. */
  rescueAttempts: 4,
  /** Time for which a model stays in memory before it may be unloaded for a model that no upstream holds. */
  minResidencyMs: 20_000,
  /** Time that a sidecar has to answer an on-demand load request. */
  rescueReplyTimeoutMs: 2_000,
  /** Time after its expected end at which a load counts as lost. */
  rescueGraceMs: 5_000,
  /** Retry-after time if no better estimate is known. */
  retryAfterMs: 1_000,
  /** Time after which a request whose outcome was never reported no longer counts as in flight. */
  inFlightExpiryMs: 900_000,
  /** Time that a trial request of a half-open breaker may take before another one is allowed. */
  trialTimeoutMs: 5_000,
};
