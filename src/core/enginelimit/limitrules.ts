/** Bounds and steps of an engine's limit, as parts of its slots where nothing else is said. */
export const limitRules = {
  /**
   * An engine takes this much, running and waiting: beyond it, answers came after callers had left (2 s
   * without an event), and those before them came late as well.
   */
  most: 1.15,
  /** No limit goes lower: an engine with half of its slots free is not full, whatever a burst of prompts did. */
  least: 0.5,
  /** A gap of this part of the target shows that one over it is near. */
  nearTarget: 0.8,
  /** After such a gap the limit is this part of what the engine has. */
  cutShare: 0.75,
  /** One burst of prompts makes gaps in all streams, as they end: it counts once. */
  cutEveryMs: 500,
  /** Added in a second without such a gap. */
  raisePerS: 0.1,
  /** The most urgent may go above the limit by this: engines let them go before the others. */
  urgentShare: 1.25,
} as const;
