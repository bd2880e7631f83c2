/** Constants of admission for plain services. */
export const plainWaitRules = {
  /** Weight of a new sample in the average processing time of an upstream. */
  newSampleWeight: 0.05,
  /**
   * Fraction of the target latency within which an answer has to be expected. The rest covers the round trip to the
   * caller (measured: 6 of 331 ms) and requests of other entries that are not known yet.
   */
  targetShare: 0.9,
  /** Interval at which a waiting request checks for a free slot, in ms: about as often as a request ends somewhere. */
  recheckMs: 20,
  /**
   * How long a request waits whose answer will be late, as a fraction of the time its caller has left. Callers accept
   * a retry-after time of up to a third of it.
   */
  lateWaitShare: 0.33,
} as const;
