import type { Ms } from '../../base/index.js';
import type { Upstream } from '../../core/upstreams/index.js';
import type { Block } from './block.js';
import type { SlotWaiter } from './slotwaiter.js';

/** Decides whether a request may be sent to an upstream now. */
export interface Gate {
  /** Returns undefined if the request named by `requestId` may be sent there now. */
  blockOf(upstream: Upstream, nowMs: Ms, requestId?: string): Block | undefined;
  /** Asks for a slot: one of these upstreams would have been chosen if it were not blocked. */
  wanted(upstreams: readonly Upstream[], ask: SlotWaiter, nowMs: Ms): void;
  /** Returns true if a request for which the upstream was chosen at `chosenAtMs` may still be sent there. */
  maySend(upstream: Upstream, chosenAtMs: Ms, nowMs: Ms): boolean;
  /** Uses up a slot, if the upstream has a limit: a request is sent there. */
  useSlot(upstream: Upstream, nowMs: Ms, requestId: string): void;
}
