/** What is thought of a request that has come before. */
export type Verdict =
  /** Nothing speaks against it. */
  | 'sound'
  /** Upstreams ended under it, which may be bad luck: it runs alone, where it does least harm. */
  | 'suspect'
  /** It ends the upstreams that run it: it is not sent to one. */
  | 'poison';
