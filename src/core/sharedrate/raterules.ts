/** Constants of the rate limit of an upstream that all entries share. */
export const rateRules = {
  /** Validity of a slot, in ms. A request not sent by then needs a new slot, so that slots cannot accumulate. */
  validMs: 300,
  /** How late a slot may be granted without delaying the next one, in ms. */
  maxLatenessMs: 100,
  /** Time for which a slot is reserved for its request, in ms; a request with less time left cannot use a slot. */
  minUsableMs: 40,
  /** Minimum rate per second, so that an upstream whose limit is zero is still probed for a new limit. */
  minPerS: 0.1,
  /**
   * Fraction of a rate that the order lease holder grants after its lease has lapsed. While the store is unavailable
   * there may be no successor; if there is one with the full rate, the sum stays within the allowed excess.
   */
  lapsedShare: 0.25,
  /** Length of the windows in which an upstream counts the requests it receives, in ms. */
  windowMs: 4000,
  /** What an upstream tolerates in a window: `excess` times its limit, plus `slack` requests. */
  excess: 1.5,
  slack: 5,
  /** Fraction of that allowed in a window that began before the limit was known. */
  knownShare: 0.8,
  /** Maximum number of requests of all entries queued for the slots of one upstream. */
  maxQueued: 64,
  /** Maximum number of outstanding slot requests of an entry, so that connections remain for its other calls. */
  maxOutstanding: 8,
  /** Bounds of the backoff after a slot request without an answer or without a slot, in ms. */
  minBackoffMs: 100,
  maxBackoffMs: 4000,
  /** Time after its last report at which an upstream's limit no longer counts in planning, in ms. */
  believedMs: 15_000,
} as const;
