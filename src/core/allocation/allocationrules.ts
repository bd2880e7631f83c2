/**
 * Figures of a plan. Gains and losses are in requests answered in time. Where nothing else is said a figure is the
 * best of those tried in `npm run bench -- platform-policy`.
 */
export const allocationRules = {
  /** How long a place is expected to be worth what it is worth now, in s: demand moves on within 4 to 8 s. */
  horizonS: 4,
  /**
   * Up to this part of an engine's slots its requests come in time if it reads no more than `fewPrompts` in the time
   * of a pause, and `lateSpan` above it none does: of streams on engines of 64 slots, by the logs of a day, 4 in 100
   * were late with under 10 running, 23 with 20 to 30, 54 with 30 to 50 and 80 with 50 to 60.
   */
  calmFill: 0.25,
  lateSpan: 0.85,
  fewPrompts: 5,
  /** The calm part rises with the square of the prompts in a pause, and by this at most, times. */
  mostRaise: 3,
  /** Part of a model's requests in a horizon that its second place saves, as an engine may be lost with the only one. */
  insuredShare: 0.04,
  /** A model with fewer requests a second than this is rare. */
  rarePerS: 1,
  /**
   * Part of the engines that may load rare models from the weight store at a time, and at least two: a load takes an
   * engine's one order for 4 to 6 s, and on a day whose demand moved on three times two of three loads were for
   * rare models.
   */
  rareLoadShare: 0.12,
  /** A model that has just come stays at least this long while it is in use. */
  leastStayMs: 1500,
  /** For each second that a model has been asked for in vain, so that none is left out for ever. */
  absentGainPerS: 0.25,
  /** For a model that nobody holds or asks for: the first request finds it. */
  reachableGain: 0.5,
} as const;
