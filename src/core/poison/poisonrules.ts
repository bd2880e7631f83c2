/** Rules that decide when a trait counts as the cause of crashes. */
export const poisonRules = {
  /** Numbers of independent crashes for a verdict on the content of a request. */
  content: {
    /** Fewer are never sufficient: a dozen innocent requests run on an upstream when it crashes. */
    minCrashes: 2,
    /**
     * So many are sufficient, however often upstreams crash otherwise. A caller that retries once meets at most two
     * crashes by chance, so a third one is not explained by chance.
     */
    sufficientCrashes: 3,
  },
  /**
   * The same for a part of prompts. Many requests share a part, so more of them meet a crash by chance, and a wrong
   * verdict bars them all.
   */
  part: { minCrashes: 3, sufficientCrashes: 5 },
  /**
   * Crashes between these numbers are sufficient if the probability that all had other causes is at most this. With 13
   * upstreams and no other crash in 30 s this holds for two runs of up to 3.9 s each; with nine crashes in that time, of
   * up to 0.39 s.
   */
  maxProbability: 1e-4,
  /**
   * A part of prompts with a verdict may run as a trial again this long after its last crash, unless it has crashed
   * upstreams in so many trials: a wrong verdict would bar all requests with the part until an operator lifts it.
   */
  retrialAfterMs: 30_000,
  finalTrials: 3,
  /** Without the order lease holder, a trait with so many crashes does not run. */
  maxCrashesWithoutHolder: 2,
  /** The crash rate is estimated from crashes within this time. */
  windowMs: 30_000,
  /** Crashes added to the count of each window: without them the first crash in a calm window would seem impossible. */
  priorCrashes: 1,
  /**
   * A trait that crashes upstreams does so within about 100 ms of the beginning of an answer. An answer that goes on
   * for this long proves the traits of its request sound.
   */
  survivalMs: 500,
  /** Maximum time from the beginning of an answer to a later crash that the answer is still evidence against. */
  priorProofMs: 1000,
  /** Lower bound of the chance of one crash: clocks and network add milliseconds to a run. */
  minProbability: 1e-6,
} as const;
