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
} as const;
