import type { Ms } from '../../base/index.js';
import type { Refusal } from '../../wire/index.js';

/** Results of the effects of one key's mapping. */
export type MappingEvent =
  /** The entry's write budget for the store is spent; the next write is possible after `retryAfterMs`. */
  | { readonly type: 'unaffordable'; readonly retryAfterMs: Ms }
  | { readonly type: 'issued'; readonly ticket: string }
  | { readonly type: 'unissued'; readonly refusal: Refusal }
  | { readonly type: 'created' }
  /** Value of the key in the store, from a conflict or a read; undefined if the key does not exist. */
  | { readonly type: 'found'; readonly value: string | undefined }
  /** The store call failed, or its answer was lost. */
  | { readonly type: 'failed' };
