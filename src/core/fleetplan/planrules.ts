/**
 * Weights of a plan. Gains and costs are in requests that are served or not, within the time that a plan looks
 * ahead. Those for models that nobody holds come from a search over the days of
 * `npm run bench -- platform-policy`.
 */
export const planRules = {
  /** How far a plan looks ahead: demand moves on to other models within 4 to 7 s. */
  horizonS: 4,
  /** Longest time of a request that is believed of a queue. */
  longestRunS: 2,
  /**
   * Up to this part of an engine's slots its requests come in time if it reads no more than `fewPrompts` in the time
   * of a pause, and `lateSpan` above it none does: of streams on engines of 64 slots, by the logs of a day, 4 in 100
   * were late with under 10 running, 23 with 20 to 30, 54 with 30 to 50 and 80 with 50 to 60. Engines that read
   * more bear more: where they read 8, places from a quarter of the slots cost 33 loads more on a calm day.
   */
  calmFill: 0.25,
  lateSpan: 0.85,
  fewPrompts: 5,
  /** The calm part rises with the square of the prompts in a pause, and by this at most, times. */
  mostRaise: 3,
  /** Prompts in a pause while nothing is known of them. */
  unknownPrompts: 5,
  /** A model with fewer requests at a time than this needs no second place, as far as its load goes. */
  leastConcurrency: 1,
  /** Part of a model's requests that its second place saves, as an engine may be lost with the only one. */
  insuredShare: 0.15,
  /** Part of a model's replicas that is kept while the demand is not known. */
  keptShare: 0.6,
  /** For taking one of them. */
  keptCost: 3,
  /** A model that was asked for within this time counts as in use. */
  inUseMs: 2250,
  /** A model that has just come stays at least this long while it is in use. */
  leastStayMs: 1500,
  /** For a model that is in use and nobody holds: at least, and for each request a second and waiting. */
  absentGain: 0.5,
  absentGainPerS: 4,
  absentGainPerWaiting: 0.7,
  /**
   * Times the third power of the seconds that it has been asked for in vain, up to the most: little at first, as a
   * rare model for a rare model gains nothing and keeps the engine's one order from a busy one; then so much that
   * none is left out; but never as much as a busy model's further place.
   */
  absentGainPerAbsentS3: 0.03,
  mostAbsentGain: 15.5,
  /** A model with fewer requests a second than this is rare. */
  rarePerS: 1,
  /**
   * Part of the engines that may load rare models from the weight store at a time: a load takes an engine's one
   * order for 4 s, and on a day whose demand moved on three times two of three loads were for rare models.
   */
  rareLoadShare: 0.25,
  /** So many may in any case. */
  rareLoads: 2,
  /** For a further replica whose place is wanted for its adapters. */
  adapterGain: 1.5,
  /** For a model that nobody holds or asks for: so that the first request finds it. */
  reachableGain: 3,
  /** For taking a replica that is not needed. */
  surplusCost: 0.02,
  /** For taking the only place of a model that nobody asks for. */
  idleLastCost: 3,
  /** For taking the only place of one in use, and for each request a second to it. */
  usedLastCost: 14,
  usedLastCostPerS: 4,
  /** For each request that runs at the place taken: the unload waits for it. */
  runningCost: 0.3,
  /** For each second that a load takes, and for one from the weight store. */
  costPerLoadS: 0.5,
  coldCost: 0.4,
  /** A move has to gain this much more than it costs: moves for less were undone again. */
  margin: 0.1,
} as const;
