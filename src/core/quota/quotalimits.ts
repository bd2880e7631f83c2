/** Constants of quotas shared by all entries. The order lease holder keeps the shared buckets. */
export const quotaLimits = {
  /**
   * An entry that gets no answer from the holder for this long fills its own buckets: two reports were lost, or there
   * is no holder. In ms, counted from the sending of the last report that was answered.
   */
  isolatedAfterMs: 600,
  /**
   * Time without a report after which the holder assumes that an entry fills its own buckets, in ms. It is shorter than
   * `isolatedAfterMs` by a report interval and its transmission, so that the holder assumes it before it happens.
   */
  presumedIsolatedAfterMs: 350,
  /** How long after its last answer an entry may fill its own buckets, in ms; the holder may drop it after that. */
  isolatedForMs: 18_000,
  /** How long the holder reserves the share of an entry that does not report, in ms. */
  forgetMs: 20_000,
  /**
   * Fraction of the allowed excess by which the bucket is enlarged, because entries learn of each other's requests with
   * delay. The rest covers clock errors, lost answers, and requests charged some time before they are sent.
   */
  excessShare: 0.7,
  /** A request charged longer ago than this is charged again before it is sent, in ms. */
  chargeValidMs: 400,
  /** Amount that an entry is granted in advance, as a multiple of its demand between two reports. */
  prefetchShare: 2.5,
  /** Entries get tokens by demand in advance only if half of the bucket is this many requests per entry. */
  minRequestsPerEntry: 2,
  /** Time after a refusal for which an entry does not ask the holder again, in ms. */
  refusalBackoffMs: 100,
  /** Number of average requests for which an entry keeps tokens in advance if a customer's limit is low. */
  prefetchRequests: 1.5,
  /** Reports without demand after which unused tokens are returned; 3 s, since occasional callers return. */
  idleReports: 12,
  /** Maximum retry-after time, in ms; most deadlines have passed by then. */
  maxRetryAfterMs: 10_000,
} as const;
