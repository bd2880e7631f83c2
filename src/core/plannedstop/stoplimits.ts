/** Times of a planned stop that several functions share. */
export const stopLimits = {
  /**
   * The load balancer probes once a second and removes a host after two failures; a connection that it opened may still
   * be in flight.
   */
  listeningMs: 3000,
  /** Bound on the listening time in a shorter grace period: the rest is for running requests. */
  listenShare: 0.5,
  /**
   * Requests that are read in this last part of the listening time are refused: an answer that begins so late may
   * be incomplete when the grace period ends. A stream that was read 12 ms past the listening time, between two
   * checks of the phase, waited and was cut off 4.5 s later.
   */
  refuseBeforeMs: 200,
  /**
   * From this share of the grace period on no request waits for a free slot or a model: an answer takes about a sixth
   * of a grace period of 8 s (1.4 s for the mean stream).
   */
  refusingShare: 0.75,
  /** Leaves 0.5 s of a grace period of 8 s for writing final answers, enough on half a core as well. */
  endingShare: 0.94,
  /** The longest of the answers of one to two such windows tells how long answers take: load changes within minutes. */
  answerWindowMs: 30_000,
} as const;
