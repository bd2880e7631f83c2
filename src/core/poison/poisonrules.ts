/** Rules that decide when a request counts as the cause of crashes. */
export const poisonRules = {
  /**
   * This many independent crashes are sufficient, however often upstreams crash otherwise. A caller that retries once
   * meets at most two crashes by chance, so a third one is not explained by chance.
   */
  sufficientCrashes: 3,
  /** Fewer crashes are never sufficient: a dozen innocent requests run on an upstream when it crashes. */
  minCrashes: 2,
  /**
   * Two crashes are sufficient if the probability that both had other causes is at most this. With 13 upstreams and no
   * other crash in 30 s this holds for two runs of up to 3.9 s each; with nine crashes in that time, of up to 0.39 s.
   */
  maxProbability: 1e-4,
  /** The crash rate is estimated from crashes within this time. */
  windowMs: 30_000,
  /** Crashes added to the count of each window: without them the first crash in a calm window would seem impossible. */
  priorCrashes: 1,
  /** Lower bound of the chance of one crash: clocks and network add milliseconds to a run. */
  minProbability: 1e-6,
} as const;
