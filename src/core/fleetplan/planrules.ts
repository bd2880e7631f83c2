/**
 * Weights of a plan. Gains and costs are in requests that are served or not. They come from a search over the
 * days of `npm run bench -- platform-policy`: worth there 0.777 before it and 0.856 after on the Agency's days
 * of shifting demand, 0.787 and 0.816 with engines lost in a burst, 0.898 and 0.973 on Reenvio Norte's.
 */
export const planRules = {
  /** Part of an engine's slots that a model's requests may fill before it gets another replica. */
  fillShare: 0.25,
  /** When all engines are busy, a place is filled by this times the busy part of all slots. */
  busyFactor: 0.6,
  mostFillShare: 0.45,
  /** Part of a model's replicas that is kept while the demand is not known. */
  keptShare: 0.6,
  /** A model that was asked for within this time counts as in use. */
  inUseMs: 2250,
  /** A model that has just come stays at least this long while it is in use. */
  leastStayMs: 1500,
  /** For a model that is in use and nobody holds: at least, and for each request a second and waiting. */
  absentGain: 4,
  absentGainPerS: 4,
  absentGainPerWaiting: 0.7,
  /** For each second that it has been asked for in vain, so that none is left out for good. */
  absentGainPerAbsentS: 1.4,
  /** For a further replica, times the part of its slots that is filled. */
  replicaGain: 5,
  /** For a further replica whose place is wanted for its adapters. */
  adapterGain: 1.5,
  /** For a model that nobody holds or asks for: so that the first request finds it. */
  reachableGain: 2.5,
  /** For taking a replica that is not needed. */
  surplusCost: 0.02,
  /** For taking one of several that are needed, and for the part of the slots of the others then filled. */
  neededCost: 3,
  neededCostPerFill: 5,
  /** For taking the only place of a model that nobody asks for. */
  idleLastCost: 3,
  /** For taking the only place of one in use, and for each request a second to it. */
  usedLastCost: 14,
  usedLastCostPerS: 4,
  /** For each request that runs at the place taken: the unload waits for it. */
  runningCost: 0.05,
  /** For each second that a load takes, and for one from the weight store. */
  costPerLoadS: 0.05,
  coldCost: 0.2,
  /** A move has to gain this much more than it costs: moves for less were undone again. */
  margin: 0.1,
} as const;
