import type { Refusal } from '../../wire/index.js';

/** What the shell does next for the mapping of one key. */
export type MappingEffect =
  | { readonly type: 'ask-ticket' }
  /** Create the key with this value, if it does not exist. */
  | { readonly type: 'create'; readonly value: string }
  | { readonly type: 'read' }
  /** Send the request under this ticket. */
  | { readonly type: 'bind'; readonly ticket: string }
  | { readonly type: 'refuse'; readonly refusal: Refusal };
