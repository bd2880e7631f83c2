import type { Ms } from '../../base/index.js';
import type { Refusal } from '../../wire/index.js';

/** What happens to the mapping of one key. */
export type MappingEvent =
  /** Writes are used up; `retryAfterMs` says when there will be one again. */
  | { readonly type: 'unaffordable'; readonly retryAfterMs: Ms }
  | { readonly type: 'issued'; readonly ticket: string }
  | { readonly type: 'unissued'; readonly refusal: Refusal }
  | { readonly type: 'created' }
  /** The store's value of the key, from a conflict or a read; undefined if there is none. */
  | { readonly type: 'found'; readonly value: string | undefined }
  /** The store did not answer, or its answer was lost. */
  | { readonly type: 'failed' };
