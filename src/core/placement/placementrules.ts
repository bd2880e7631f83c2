/** Constants of placement. */
export const placementRules = {
  /** Share of its slots that an upstream is planned to use. */
  targetShare: 0.85,
  /** Time over which a move must pay off, in seconds: about as long as demand stays the same. */
  horizonSeconds: 60,
  /** A gain must exceed its cost by this factor, so that successive plans do not oscillate. */
  hysteresis: 1.2,
  /**
   * Share of all weighted answers over the horizon that a move must gain in addition to its cost: demand is estimated
   * from request counts, and smaller differences are noise.
   */
  noiseShare: 0.003,
  /** Maximum number of replicas that one plan adds for demand. */
  changesPerPlan: 3,
  /** Search bounds for one change: overloaded upstreams, models of each, and target upstreams for each model. */
  sourcesPerChange: 4,
  modelsPerSource: 3,
  targetsPerModel: 2,
  /** Iterations for spreading demand over replicas. */
  spreadRounds: 6,
  /** Assumed outage of a model whose last replica is lost, in seconds. */
  outageSeconds: 5,
};
