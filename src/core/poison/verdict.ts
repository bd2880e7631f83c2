/** How a request is treated, by the crashes of upstreams that ran it before. */
export type Verdict =
  /** No evidence against it. */
  | 'sound'
  /** Upstreams crashed under it, maybe by coincidence: it runs one at a time, where a crash does least harm. */
  | 'suspect'
  /** It crashes the upstreams that run it: it is not sent to any. */
  | 'poison';
