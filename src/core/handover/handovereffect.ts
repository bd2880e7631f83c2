import type { RequestId, UpstreamId } from '../../base/index.js';

/** What the shell does for the hand-over. */
export type HandOverEffect =
  | { readonly type: 'export'; readonly requestId: RequestId; readonly limitBytes: number }
  | { readonly type: 'send'; readonly requestId: RequestId; readonly upstream: UpstreamId }
  /** Its typed end may go out: it is continued at `upstream` first, or anywhere from its text. */
  | {
      readonly type: 'settle';
      readonly requestId: RequestId;
      readonly upstream: UpstreamId | undefined;
    };
