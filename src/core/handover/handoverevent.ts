import type { RequestId } from '../../base/index.js';
import type { Holder } from './holder.js';
import type { Session } from './session.js';

/** An event for the hand-over. */
export type HandOverEvent =
  /** The drain timeout has expired; these sessions are still running. */
  | { readonly type: 'begin'; readonly sessions: readonly Session[] }
  /** Upstreams that could take the sessions. */
  | { readonly type: 'found'; readonly holders: readonly Holder[] }
  | { readonly type: 'exported'; readonly requestId: RequestId; readonly sizeBytes: number }
  | { readonly type: 'imported'; readonly requestId: RequestId }
  /** The export or the import failed. */
  | { readonly type: 'failed'; readonly requestId: RequestId }
  /** The hand-over is aborted: nobody waits for the remaining sessions. */
  | { readonly type: 'give-up' }
  | { readonly type: 'tick' };
