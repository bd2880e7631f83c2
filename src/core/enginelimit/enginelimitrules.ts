/** Bounds and steps of an engine's limit, as fractions of its slots unless stated otherwise. */
export const engineLimitRules = {
  /**
   * Upper bound on running and queued requests. Beyond it, answers arrived after their callers had given up (2 s
   * without an event), and the requests ahead of them were late as well.
   */
  maxFill: 1.15,
  /** Lower bound of the limit: an engine with half of its slots free is not full, even after a burst of prompts. */
  minFill: 0.5,
  /** A gap above this fraction of the target counts as a sign of overload. */
  nearTarget: 0.8,
  /** After such a gap, the limit is set to this fraction of the engine's current load. */
  cutFactor: 0.75,
  /** Minimum time between two cuts: one burst of prompts causes gaps in all streams and must count once. */
  cutIntervalMs: 500,
  /** Increase of the limit per second without such a gap. */
  raisePerS: 0.1,
  /** Factor by which the most urgent requests may exceed the limit; engines run them before the others. */
  urgentFactor: 1.25,
} as const;
