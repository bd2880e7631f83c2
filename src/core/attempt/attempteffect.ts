import type { Ms, UpstreamId } from '../../base/index.js';
import type { Refusal } from '../../wire/index.js';

/** An action that the attempt core asks its caller to perform for a request. */
export type AttemptEffect =
  | {
      readonly type: 'choose';
      readonly tried: readonly UpstreamId[];
      readonly remainingMs: Ms;
      /** Delay before choosing. */
      readonly afterMs: Ms;
    }
  | {
      readonly type: 'ask';
      readonly upstream: UpstreamId;
      readonly attempt: number;
      /** True if the attempt continues an answer of which the caller already has a part. */
      readonly continued: boolean;
      readonly remainingMs: Ms;
    }
  /** Cancels the running attempt at its sidecar. */
  | { readonly type: 'cancel' }
  | { readonly type: 'finish' }
  | { readonly type: 'fail'; readonly refusals: readonly Refusal[] };
