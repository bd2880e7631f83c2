const MIB = 1_048_576;

/** How much memory what callers send may take. */
export const callerMemoryRules = {
  /** Charged for each request: the parsed head, the response and the state of its run. */
  requestBytes: 16_384,
  /** Resident memory of an idle process: code, libraries and the young generation of its heap. */
  processBytes: 128 * MIB,
  /**
   * Part of the rest of the machine's memory that callers may take. The other parts are for answers, for what is freed
   * and not collected yet, and for calls between hosts.
   */
  part: 1 / 3,
  /** Leaves room for the largest body that the pages allow beside ordinary requests, on the smallest machine. */
  minBytes: 8 * MIB,
  /** When memory runs out, so much of the limit is left in use that the next request does not evict again. */
  lowWater: 0.875,
  /** Connections that hold most are closed first; time without progress counts from this on. */
  minIdleMs: 1000,
  /** A connection whose answer was not read for this long may be closed when memory runs out. */
  unreadMs: 5000,
  /** Answers that hold less are not given up: that frees hardly more than the request itself takes. */
  minAnswerBytes: 16_384,
  /** An answer of which no further block has come for this long may be given up when memory runs out. */
  answerIdleMs: 1000,
  /** Bound on requests and answers together, as a multiple of the limit: answers that go on are given up as well. */
  severe: 1.5,
} as const;
