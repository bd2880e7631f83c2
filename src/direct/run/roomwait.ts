import type { Ms } from '../../base/index.js';

/** What decides how long a request may wait for room. */
interface RoomWait {
  readonly targetMs: Ms;
  /** All the time that its caller gave it. */
  readonly wholeMs: Ms;
  /** Its caller was refused before. */
  readonly isReturn: boolean;
}

/** Part of the target latency within which it is worth waiting for room; a refusal after it counts as late. */
const ROOM_WAIT_SHARE = 0.24;
/**
 * A caller that is back after a refusal is lost if it is refused again: it waits longer, but not until it
 * leaves, which callers of streams do after 2 s without an event.
 */
const RETURN_WAIT_SHARE = 0.4;
const MOST_RETURN_WAIT_MS = 1500;

/** How long a request waits for room, from its arrival. */
export function roomWaitMs({ targetMs, wholeMs, isReturn }: RoomWait): Ms {
  const firstMs = targetMs * ROOM_WAIT_SHARE;
  if (!isReturn) return firstMs;
  return Math.max(firstMs, Math.min(MOST_RETURN_WAIT_MS, wholeMs * RETURN_WAIT_SHARE));
}
