/** Times and shares by which entries keep an upstream's limit together. */
export const rateRules = {
  /** A slot may be used for this long, in ms: what is not sent by then is not sent, so that slots cannot pile up. */
  validMs: 300,
  /** How late a slot may be given out without the next one being later for it, in ms. */
  lateMs: 100,
  /** A slot that comes with less time left than this is of no use to its request, for which it is kept so long, in ms. */
  useMs: 40,
  /** However little an upstream takes, it is asked this often a second whether that still holds. */
  leastPerS: 0.1,
  /**
   * Part of a rate that a holder gives out whose right has lapsed: while the store is away there may be no other, and
   * beside a successor's whole rate it stays within the excess.
   */
  lapsedShare: 0.25,
  /** An upstream judges what it gets by windows of this length, in ms. */
  windowMs: 4000,
  /** What it bears in a window: this many times its limit, and so many requests more. */
  excess: 1.5,
  slack: 5,
  /** Part of that which may lie in a window that began before the limit was known. */
  knownShare: 0.8,
  /** Requests that may stand in line for one upstream's slots, over all entries. */
  mostInLine: 64,
  /** Questions that an entry has under way, so that its other calls to the holder find a connection. */
  mostAsked: 8,
  /** After a question that had no answer, or no slot, the holder is not asked again before, in ms. */
  leastPauseMs: 100,
  mostPauseMs: 4000,
  /** An upstream whose limit nobody has heard of for this long is planned for as one without, in ms. */
  believedMs: 15_000,
} as const;
