/** How a request is treated, by the crashes of upstreams that ran it before. */
export type Verdict =
  /** No evidence against it. */
  | 'sound'
  /**
   * Upstreams crashed under it, maybe by coincidence: it runs at one upstream at a time, preferably one whose crash
   * does least harm.
   */
  | 'suspect'
  /** The request crashes the upstreams that run it, so it is not sent to any. */
  | 'poison';
