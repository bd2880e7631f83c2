/** The quota holder's answer to a draw. */
export type DrawAnswer =
  | { readonly type: 'granted'; readonly granted: number }
  | { readonly type: 'empty'; readonly retryAfterMs: number }
  /** The process that was asked does not hold the quotas, or not yet. */
  | { readonly type: 'not-holder' };
