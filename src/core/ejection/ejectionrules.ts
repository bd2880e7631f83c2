/** Constants of the ejection of upstreams whose answers are rejected. */
export const ejectionRules = {
  /** First ejection, in ms. A single crossed or late answer must not take capacity away for long. */
  firstMs: 200,
  /** Bound of an ejection, in ms: an upstream that is sound again gets a probe within this time. */
  maxMs: 10_000,
  /** Further time until a request that may not be repeated is used as a probe, in ms: a failed probe is its end. */
  unrepeatableMs: 10_000,
  /** Time to the next probe after one that has shown nothing, in ms. */
  reprobeMs: 1000,
  /** After this many sound answers since the last rejection, another rejection counts as the first. */
  forgetCount: 20,
  /** The same for the time since the last rejection, in ms, if a sound answer came since. */
  forgetMs: 30_000,
  /**
   * Answers without end, one after the other without a sound one between, that count as one rejection. A single
   * one may be a large answer over a slow connection.
   */
  endlessCount: 3,
} as const;
