import type { Ms, UpstreamId } from '../../base/index.js';
import type { Refusal } from '../../wire/index.js';

/** What the shell does next for a request. */
export type AttemptEffect =
  | {
      readonly type: 'choose';
      readonly tried: readonly UpstreamId[];
      readonly remainingMs: Ms;
      /** Time to wait before. */
      readonly afterMs: Ms;
    }
  | {
      readonly type: 'ask';
      readonly upstream: UpstreamId;
      readonly attempt: number;
      /** True if the answer goes on after what the caller already has. */
      readonly continued: boolean;
      readonly remainingMs: Ms;
    }
  /** The attempt that runs is of no more use: its sidecar is told to stop. */
  | { readonly type: 'cancel' }
  | { readonly type: 'finish' }
  | { readonly type: 'fail'; readonly refusals: readonly Refusal[] };
