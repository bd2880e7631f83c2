/** What the holder of quotas answers to a draw. */
export type DrawAnswer =
  | { readonly type: 'granted'; readonly granted: number }
  | { readonly type: 'empty'; readonly retryAfterMs: number }
  /** It does not hold the quotas, or not yet. */
  | { readonly type: 'not-holder' };
