/** Times and shares by which entries keep a quota together. */
export const quotaLimits = {
  /**
   * An entry that the holder has not answered for this long fills its own buckets: two reports were lost, or
   * there is no holder. In ms, from the sending of the last report that was answered.
   */
  aloneAfterMs: 600,
  /** The holder counts an entry as one that may fill its own: sooner than it does, by a report and its way. */
  silentAfterMs: 350,
  /** How long an entry may go by its own share after its last answer: it may be counted out after that. */
  aloneForMs: 18_000,
  /** How long the holder keeps the share of an entry that it does not hear. */
  forgetMs: 20_000,
  /**
   * Part of the allowed excess that is used as a larger bucket, against requests that are told too late of each
   * other. The rest covers clocks, lost answers, and requests that are charged some time before they are sent.
   */
  excessShare: 0.7,
  /** A request that was charged longer ago is charged anew before it is sent, in ms. */
  chargeValidMs: 400,
  /** Parts of the demand between two reports that an entry gets ahead. */
  aheadShare: 2.5,
  /** An entry keeps tokens by its demand only where its part of half a bucket is so many requests. */
  leastLumps: 2,
  /** After a refusal an entry does not ask again for this long, in ms. */
  closedMs: 100,
  /** Requests of the usual cost that an entry keeps ahead where a customer's limit is narrow. */
  keptRequests: 1.5,
  /** Reports without demand after which what was got ahead goes back: 3 s, as rare callers come again. */
  idleReports: 12,
  /** However long the line, nobody is told to come back later than this, in ms: most deadlines are over by then. */
  mostRetryAfterMs: 10_000,
} as const;
