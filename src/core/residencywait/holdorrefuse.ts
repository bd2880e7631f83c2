import type { Ms } from '../../base/index.js';
import { spreadRetryAfterMs } from '../retryafter/index.js';
import type { ResidencyWait } from './residencywait.js';

type Decision = { readonly type: 'hold' } | { readonly type: 'refuse'; readonly retryAfterMs: Ms };

/**
 * A request waits this long for a load under way. Callers of streams disconnect after 2 s without an event at the
 * earliest; the remainder is for the first event. With a limit of 0.6 of an 800 ms target, 37 of 1,300 callers under
 * low load were refused up to 0.5 s before an adapter or model had been loaded from its engine's disk.
 */
const HOLD_MS = 1500;
/**
 * With a longer target a request waits up to this share of it: a load from an engine's disk takes 1.3 to 1.8 s, so a
 * caller with 4 s to its first event is served on time without a retry.
 */
const HOLD_TARGET_SHARE = 0.8;
/** A request is held for at most this share of the time from its arrival to its caller's deadline. */
const MAX_HOLD_SHARE = 0.45;
/** Added to the expected end of a load: entries learn of it a little later. */
const RETRY_MARGIN_MS = 60;
/** The retries of callers that wait for one load are spread over this share of the load time. */
const SPREAD_SHARE = 0.15;

/**
 * Holds a request only if the model or adapter that it needs is loading and will be ready soon; otherwise refuses it
 * at once with a retry-after time. Without such refusals, when demand shifted between models, 35 to 64 callers within
 * 4 s disconnected unserved after 3.2 s, with no time left for a retry.
 */
export function holdOrRefuse(wait: ResidencyWait): Decision {
  const { inMs, isUnderWay, heldMs, remainingMs, targetMs, place } = wait;
  const maxHoldMs = isUnderWay
    ? Math.min(
        Math.max(HOLD_MS, targetMs * HOLD_TARGET_SHARE),
        (remainingMs + heldMs) * MAX_HOLD_SHARE,
      )
    : 0;
  if (heldMs + inMs <= maxHoldMs) return { type: 'hold' };
  const readyMs = Math.max(0, inMs) * (1 + SPREAD_SHARE * place) + RETRY_MARGIN_MS;
  // Loads may finish late: a retry that comes too early fails, one that comes a little later costs only the delay.
  const retryAfterMs = Math.max(readyMs, spreadRetryAfterMs(remainingMs, place));
  return { type: 'refuse', retryAfterMs: Math.round(retryAfterMs) };
}
