/** Constants of placement. */
export const placementRules = {
  /** Part of its slots that an upstream is planned to use. */
  targetShare: 0.85,
  /** Time over which a move must pay, in seconds: demand holds for about so long. */
  horizonSeconds: 60,
  /** A gain must exceed its cost by this factor, so that plans do not go back and forth. */
  hysteresis: 1.2,
  /**
   * Part of all weighted answers over the horizon that a move must gain besides its cost: demand is
   * measured from counts, and smaller differences are noise.
   */
  noiseShare: 0.003,
  /** Changes that one plan makes for demand. */
  changesPerPlan: 3,
  /** Overloaded upstreams, models of each, and upstreams for each model that one change looks at. */
  sourcesPerChange: 4,
  modelsPerSource: 3,
  targetsPerModel: 2,
  /** Rounds in which demand is spread over replicas. */
  spreadRounds: 6,
  /** Weighted answers a second are lost for so long when the last replica is. */
  outageSeconds: 5,
};
