import type { Ms } from '../../base/index.js';

/** What decides how long a request may wait for capacity. */
interface CapacityWait {
  readonly targetMs: Ms;
  /** Time from the request's arrival to its deadline. */
  readonly wholeMs: Ms;
  /** The request was refused before, and its caller retries. */
  readonly isReturn: boolean;
}

/** Fraction of the target latency that a request may wait for capacity; a later refusal counts as late. */
const WAIT_SHARE = 0.24;
/**
 * A caller that was refused once gives up if it is refused again, so a retry waits longer, but not until its caller
 * leaves: callers of streams leave after 2 s without an event.
 */
const RETURN_WAIT_SHARE = 0.4;
const MAX_RETURN_WAIT_MS = 1500;

/** Returns how long a request may wait for capacity, from its arrival. */
export function capacityWaitMs({ targetMs, wholeMs, isReturn }: CapacityWait): Ms {
  const firstMs = targetMs * WAIT_SHARE;
  if (!isReturn) return firstMs;
  return Math.max(firstMs, Math.min(MAX_RETURN_WAIT_MS, wholeMs * RETURN_WAIT_SHARE));
}
