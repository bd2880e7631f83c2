/** How one attempt ended, as far as the request still needs a decision. */
export type AttemptEnd =
  /** The upstream says it did not run it, or it was never sent. */
  | { readonly type: 'not-run'; readonly wasSent: boolean }
  /** A whole answer that is a failure of the upstream's own. */
  | { readonly type: 'failed' }
  /** No answer, or one that broke off. */
  | { readonly type: 'broken' };
