/** A fault that is injected into one call to a stand-in. */
export type Fault =
  | { readonly type: 'none' }
  /** The call is handled after this delay. */
  | { readonly type: 'delay'; readonly delayMs: number }
  /** The call is lost: its connection closes and nothing runs. */
  | { readonly type: 'loss' }
  /** The answer carries the id and content of another request. */
  | { readonly type: 'crossing' }
  /** The call runs, but its answer is cut after this many tokens; a plain answer is cut before its start. */
  | { readonly type: 'cut'; readonly afterTokens: number }
  /** The stand-in loses its state. */
  | { readonly type: 'crash' };
