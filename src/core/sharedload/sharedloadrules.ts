/** Constants of the exchange of loads between entries. */
export const sharedLoadRules = {
  /** Interval of reports while a service is load-aware, in ms. */
  reportMs: 100,
  /** An entry that has been silent for this long is left out of the sums, in ms: its requests may have ended. */
  silentMs: 1500,
  /** Age up to which a sum counts in full, in ms: two reports were due since, and one of them may have been lost. */
  freshMs: 250,
  /** An older sum decays by half in this time, in ms; the same as for a count from a load header. */
  halfLifeMs: 1000,
  /** Fraction of the known entries that must have reported before their sums are used. */
  minHeardShare: 0.5,
  /**
   * Weight of one report in an upstream's average pace. Averages of single entries scatter, because each sees few
   * answers; several reports arrive per second, so that the average still follows within about a second.
   */
  paceWeight: 0.125,
} as const;
