/** When a request counts as one that ends its upstreams. */
export const poisonRules = {
  /**
   * So many ends without a sound run between them are enough, however busy the fleet is with ends. A caller that
   * comes back once meets two at most by chance, so that the third is no longer its own bad luck.
   */
  mostCrashes: 3,
  /** Fewer are never enough: one end has a dozen innocent requests with it. */
  leastCrashes: 2,
  /**
   * Two ends are enough if chance alone would have brought both with this probability at most. With 13 upstreams
   * and no other end in 30 s, two runs of up to 3.9 s each; with nine ends in that time, of up to 0.39 s.
   */
  mostChance: 1e-4,
  /** Ends within this time say how common they are now. */
  windowMs: 30_000,
  /** Ends that are taken for granted in each window, so that the first one of a calm day is not a miracle. */
  priorEnds: 1,
  /** A chance is never less than this: clocks and network add milliseconds to a run. */
  leastChance: 1e-6,
} as const;
