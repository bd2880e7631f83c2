import type { UpstreamId } from '../../base/index.js';
import type { Refusal } from '../../wire/index.js';

/** What happens to a request. */
export type AttemptEvent =
  | { readonly type: 'chosen'; readonly upstream: UpstreamId }
  | { readonly type: 'unchosen'; readonly refusal: Refusal }
  | { readonly type: 'started' }
  /** The first bytes went to the caller. */
  | { readonly type: 'passed' }
  | { readonly type: 'whole' }
  /** The sidecar's word. */
  | { readonly type: 'refused'; readonly refusal: Refusal }
  /** No word, or an answer that broke; the refusal says what is known of it. */
  | {
      readonly type: 'broken';
      readonly refusal: Refusal;
      /** True if all that the caller was sent is still held, so that another may continue it. */
      readonly continuable: boolean;
    }
  | { readonly type: 'gone' }
  /** The deadline or the bound of a planned stop has passed. */
  | { readonly type: 'expired'; readonly refusal: Refusal };
