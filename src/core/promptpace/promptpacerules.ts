/** Constants of the pacing of prompts. */
export const promptPaceRules = {
  /**
   * Limits the prompts of one entry in prefill at an engine: as many as the engine processes in this fraction of the
   * target gap between events, and at least one.
   */
  prefillShare: 0.3,
  /**
   * Streams count as stalled by prefill once their gap exceeds the uncontended gap by this fraction of the target gap.
   */
  stallShare: 0.15,
  /** Weights of a shorter and of a longer sample in the uncontended times between events and to a first event. */
  fallShare: 0.2,
  riseShare: 0.02,
  /**
   * Fraction of the target latency for which a prompt may wait while its engine is in prefill. In a simulation at 10
   * requests/s, an engine answers 6.8 requests/s on time with 0.5, and 6.1 with 0.3.
   */
  holdShare: 0.5,
  /** Load added to an engine in prefill when choosing among replicas, as a fraction of its slots. */
  prefillCost: 0.3,
  /**
   * Interval at which a waiting prompt is checked again, in ms; events are 20 to 40 ms apart. Each check compares all
   * replicas: with tens of waiting prompts, a shorter interval would use much of the processor of a small host.
   */
  recheckMs: 25,
} as const;
