/** How requests with a trait are treated, by the crashes of upstreams that ran such requests before. */
export type Verdict =
  /** No evidence against it. */
  | 'sound'
  /**
   * Upstreams crashed under it, maybe by coincidence: one request with it runs at a time, preferably at an upstream
   * whose crash does least harm.
   */
  | 'suspect'
  /** It crashes the upstreams that run it, so requests with it are not sent to any. */
  | 'poison';
