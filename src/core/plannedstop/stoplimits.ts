/** Times of a planned stop that more than one part goes by. */
export const stopLimits = {
  /** The balancer asks once a second and takes a host out after two misses; a connection may be on its way. */
  listenOnMs: 3000,
  /** A shorter grace is shared out: half of it is for what runs. */
  listenShare: 0.5,
  /**
   * Requests that are read in the last part of the listening time are refused: their callers may send later than
   * a host may still be sent work, and an answer that begins then is not whole when the grace ends. A stream that
   * was read 12 ms past the listening time, between two looks at the phase, waited and was cut 4.5 s later.
   */
  refuseBeforeMs: 200,
} as const;
