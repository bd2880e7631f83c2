/** Constants of the admission queue. */
export const queueRules = {
  /** Bounds of the queue of one entry; the memory of the smallest entry is 210 MB. */
  maxRequests: 4096,
  maxBytes: 16 * 1024 * 1024,
  /**
   * A waiting request counts as one priority more urgent after each of these periods. Requests that are late leave
   * within it, so that only those age that can still be on time: aged requests that were late took all slots of an
   * overloaded target, and nearly all requests behind them became late as well.
   */
  agingMs: 1500,
  ranks: 10,
  /** Ranks per priority; see `requestUrgency`. */
  ranksPerPriority: 2,
  /** Time constant of the rate at which slots become free. */
  rateMs: 1000,
  /** Time constant of the sends by rank, from which the part of more urgent requests is known. */
  sendsMs: 3000,
  /** Time constant of the usage by customer. */
  usageMs: 3000,
  /** The margin of a forecast is as long as the forecast wait, but at most this. */
  maxMarginMs: 250,
  /** Interval between two reviews of one request, while it may still be refused as late. */
  reviewMs: 20,
  /** Bound on the requests that one review examines, so that it does not stall the event loop. */
  maxReviewed: 256,
  /** The rate of a target for which no request waits is not used after this time. */
  forgetMs: 1000,
  /** Customers compared for a forecast; the rest is extrapolated. */
  maxCompared: 64,
} as const;
