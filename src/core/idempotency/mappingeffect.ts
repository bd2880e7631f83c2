import type { Refusal } from '../../wire/index.js';

/** Actions that the shell executes to map one key. */
export type MappingEffect =
  | { readonly type: 'ask-ticket' }
  /** Creates the key with this value if it does not exist. */
  | { readonly type: 'create'; readonly value: string }
  | { readonly type: 'read' }
  /** Sends the request under this ticket. */
  | { readonly type: 'bind'; readonly ticket: string }
  | { readonly type: 'refuse'; readonly refusal: Refusal };
