import type { Ms } from '../../base/index.js';

/** The remainder of the time to the deadline is for the rest of the stream. */
const HOLD_SHARE = 0.8;

/**
 * Returns how long a request that continues a stream may be held, from its arrival. Its caller has the beginning of the
 * answer, and a refusal loses that as well.
 */
export function continuedHoldMs(wholeMs: Ms): Ms {
  return wholeMs * HOLD_SHARE;
}
