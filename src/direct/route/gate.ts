import type { Ms } from '../../base/index.js';
import type { Upstream } from '../../core/upstreams/index.js';
import type { Block } from './block.js';
import type { SlotAsk } from './slotask.js';

/** Says whether an upstream wants a request now. */
export interface Gate {
  /** Undefined if a request may be sent there now; `asker` names it. */
  blockOf(upstream: Upstream, nowMs: Ms, asker?: string): Block | undefined;
  /** One of them would have been chosen, were it not blocked. */
  wanted(upstreams: readonly Upstream[], ask: SlotAsk, nowMs: Ms): void;
  /** Whether a request that was let in at `enteredAtMs` may still be sent there. */
  isLetIn(upstream: Upstream, enteredAtMs: Ms, nowMs: Ms): boolean;
  /** A request is sent there. */
  enter(upstream: Upstream, nowMs: Ms, asker: string): void;
}
