import type { Ms } from '../../base/index.js';
import { comeBackMs } from '../comeback/index.js';
import type { ResidencyWait } from './residencywait.js';

type Decision = { readonly type: 'hold' } | { readonly type: 'refuse'; readonly retryAfterMs: Ms };

/**
 * What is under way is waited for no longer than this: callers of streams leave after 2 s without an event at the
 * earliest, and the rest is for the first event. Held for 0.6 of a target of 800 ms alone, 37 of 1,300 callers of a
 * calm day were refused up to 0.5 s before an adapter or a model came from its engine's disk.
 */
const HOLD_MS = 1500;
/**
 * Where the target is longer, up to this part of it: a model from an engine's disk is there after 1.3 to 1.8 s, and
 * a caller with 4 s to its first event is then served in time, in place of coming back.
 */
const HOLD_TARGET_SHARE = 0.8;
/** No request is held for more than this part of what its caller has left. */
const LONGEST_HOLD_SHARE = 0.45;
/** Added to the time at which a model should be there: entries hear of it a little later. */
const COME_BACK_MARGIN_MS = 60;
/** Callers that wait for one load come back over this part of its time, not all at its end. */
const SPREAD_SHARE = 0.15;

/**
 * Holds a request only if what it needs is on its way and soon there; else its caller is told at once when to come
 * back. Held to see what happens, 35 to 64 callers in 4 s left unserved after 3.2 s on
 * days whose busy models moved on: their time was lost and they had no other try.
 */
export function holdOrRefuse(wait: ResidencyWait): Decision {
  const { inMs, isUnderWay, heldMs, remainingMs, targetMs, place } = wait;
  const patienceMs = isUnderWay
    ? Math.min(
        Math.max(HOLD_MS, targetMs * HOLD_TARGET_SHARE),
        (remainingMs + heldMs) * LONGEST_HOLD_SHARE,
      )
    : 0;
  if (heldMs + inMs <= patienceMs) return { type: 'hold' };
  const thereMs = Math.max(0, inMs) * (1 + SPREAD_SHARE * place) + COME_BACK_MARGIN_MS;
  // Loads come late as well: one that is back too soon is lost, one that is back a little later is as late.
  const retryAfterMs = Math.max(thereMs, comeBackMs(remainingMs, place));
  return { type: 'refuse', retryAfterMs: Math.round(retryAfterMs) };
}
