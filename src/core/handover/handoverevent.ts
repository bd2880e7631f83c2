import type { RequestId } from '../../base/index.js';
import type { Holder } from './holder.js';
import type { Session } from './session.js';

/** What happens to the hand-over. */
export type HandOverEvent =
  /** The bound of the stop is reached: these run still. */
  | { readonly type: 'begin'; readonly sessions: readonly Session[] }
  /** Who could take them. */
  | { readonly type: 'found'; readonly holders: readonly Holder[] }
  | { readonly type: 'exported'; readonly requestId: RequestId; readonly sizeBytes: number }
  | { readonly type: 'imported'; readonly requestId: RequestId }
  /** The engine did not export, or the other side did not take it. */
  | { readonly type: 'failed'; readonly requestId: RequestId }
  /** Nobody waits for the rest. */
  | { readonly type: 'give-up' }
  | { readonly type: 'tick' };
