import type { UpstreamId } from '../../base/index.js';
import type { Refusal } from '../../wire/index.js';

/** An event in the life of a request. */
export type AttemptEvent =
  | { readonly type: 'chosen'; readonly upstream: UpstreamId }
  | { readonly type: 'unchosen'; readonly refusal: Refusal }
  | { readonly type: 'started' }
  /** The first bytes of the answer were sent to the caller. */
  | { readonly type: 'passed' }
  | { readonly type: 'whole' }
  /** The sidecar refused the request. */
  | { readonly type: 'refused'; readonly refusal: Refusal }
  /** There was no answer, or it was interrupted; the refusal describes what is known. */
  | {
      readonly type: 'broken';
      readonly refusal: Refusal;
      /** True if all of the answer sent to the caller is still held, so that another upstream can continue it. */
      readonly continuable: boolean;
    }
  | { readonly type: 'gone' }
  /** The deadline of the request, or the time limit of a planned stop, has passed. */
  | { readonly type: 'expired'; readonly refusal: Refusal };
