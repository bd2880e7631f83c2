import type { RequestId, UpstreamId } from '../../base/index.js';

/** An action that the hand-over requests from its shell. */
export type HandOverEffect =
  | { readonly type: 'export'; readonly requestId: RequestId; readonly limitBytes: number }
  | { readonly type: 'send'; readonly requestId: RequestId; readonly upstream: UpstreamId }
  /** The session's stream may be ended here: it resumes from the KV cache at `upstream`, or anywhere from its text. */
  | {
      readonly type: 'settle';
      readonly requestId: RequestId;
      readonly upstream: UpstreamId | undefined;
    };
