/** Constants of the allocation plan. Gains and losses are in requests answered on time. */
export const allocationRules = {
  /**
   * Time for which the present value of a replica is expected to stay the same, in s: demand shifts within 4 to 8 s.
   */
  horizonS: 4,
  /**
   * Up to this share of an engine's slots all answers are on time, if the engine prefills at most `basePrompts` within
   * one target token gap. The on-time share falls to 0 over the next `lateSpan` of the slots. On engines of 64 slots,
   * 4 % of the streams were late with under 10 running, 23 % with 20 to 30, 54 % with 30 to 50, 80 % with 50 to 60.
   */
  onTimeFill: 0.25,
  lateSpan: 0.85,
  basePrompts: 5,
  /** `onTimeFill` grows with the square of the prompts per token gap, by at most this factor. */
  maxFillFactor: 3,
  /** Share of a model's requests over the horizon that a second replica saves if the engine of the only one is lost. */
  redundancyShare: 0.04,
  /** A model with fewer requests per second than this is rare. */
  rarePerS: 1,
  /**
   * Share of the engines, at least two, that may load rare models from the weight store at the same time. A load
   * blocks all other orders of its engine for 4 to 6 s; when demand shifted three times in a run, two of three loads
   * were for rare models.
   */
  rareLoadShare: 0.12,
  /** A newly loaded model stays at least this long while it is in use. */
  minStayMs: 1500,
  /** Gain per second for which requests for a model have found no replica: prevents starvation. */
  absentGainPerS: 0.25,
  /**
   * Gain of a first replica of a model at a software version at which streams wait to be continued. Such a stream can go
   * on nowhere else, and its caller loses what has arrived as well.
   */
  continuedGain: 3,
  /** Gain of a first replica of a model without demand: the first request for the model then finds it in memory. */
  reachableGain: 0.5,
} as const;
