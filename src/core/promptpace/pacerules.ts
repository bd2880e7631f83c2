/** Bounds of the pace at which prompts go to an engine. */
export const paceRules = {
  /**
   * Prompts of one entry that an engine reads at a time: as many as it reads in this part of the longest pause that
   * is in time, and one in any case.
   */
  readingShare: 0.3,
  /**
   * Streams that stand still for this part of the longest pause that is in time, beyond what their events take while
   * nothing is read, wait for prompts.
   */
  stillShare: 0.15,
  /** How fast the calm time between events, and to a first event, follows a shorter and a longer one. */
  fallShare: 0.2,
  riseShare: 0.02,
  /**
   * Part of the target latency for which a prompt may wait while its engine reads others. With 0.5 in place of 0.3
   * an engine answers 6.8 requests a second in time in place of 6.1 when 10 a second are asked (simulated).
   */
  holdShare: 0.5,
  /** What an engine that reads prompts now costs in the choice among replicas, as a part of its slots. */
  readingCost: 0.3,
  /**
   * How often a prompt that waits looks again: an event takes 20 to 40 ms. Each look weighs the replicas anew, which
   * tens of waiting prompts would pay for with a good part of a small host's processor.
   */
  lookMs: 25,
} as const;
