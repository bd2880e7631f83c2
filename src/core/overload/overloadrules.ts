/** Limits on the time that connections wait in the accept queue. */
export const overloadRules = {
  /**
   * How long the queue may stand without once being empty. What a burst, a garbage collection or a pause of a processor
   * quota leaves in it is accepted sooner; short requests lose a sixth of their time to such a wait.
   */
  standingMs: 200,
  /**
   * How many turns of the event loop have to find a connection before the queue counts as standing. One turn that takes
   * long (code that runs for the first time, a suspension) does not show that more connections come than can be
   * accepted. A busy process at 0.243 of a core makes some 40 turns within `standingMs`.
   */
  standingTurns: 16,
  /**
   * For this long after it began to listen a process refuses by an answer what it does not accept. It runs most code for
   * the first time then, and callers cannot tell a connection that is reset beside a restart from a lost request.
   */
  startingMs: 5000,
  /**
   * Most refusals from when the queue counts as standing until it is empty. They cover what has waited by then at a usual
   * load; under pressure that lasts, more of them would take the time of the requests that are served.
   */
  maxRefused: 64,
  /** Least interval of accepts while shedding: a process that reports itself ready has to go on accepting connections. */
  acceptEveryMs: 50,
} as const;
