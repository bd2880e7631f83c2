/** What goes wrong with one call to a stand-in. */
export type Fault =
  | { readonly type: 'none' }
  /** The call is handled this much later. */
  | { readonly type: 'delay'; readonly delayMs: number }
  /** The call never arrives: its connection closes and nothing runs. */
  | { readonly type: 'loss' }
  /** The answer carries the id and contents of another request. */
  | { readonly type: 'crossing' }
  /** The call runs, and its answer breaks off after so many tokens (or before a plain answer). */
  | { readonly type: 'cut'; readonly afterTokens: number }
  /** The stand-in loses all that it holds. */
  | { readonly type: 'crash' };
