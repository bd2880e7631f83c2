import type { Ms } from '../../base/index.js';
import { spreadRetryAfterMs } from '../retryafter/index.js';
import { continuedHoldMs } from './continuedholdms.js';
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
/**
 * A stream waits for this long without word from the order lease holder that a load can be expected. The list shows a
 * crash after 3.6 s; if its upstreams are still listed by then, the entry is cut off, and its caller finds another one.
 */
const MAX_UNPLANNED_MS = 4000;
/** Added to the expected end of a load: entries learn of it a little later. */
const RETRY_MARGIN_MS = 60;
/** The retries of callers that wait for one load are spread over this share of the load time. */
const SPREAD_SHARE = 0.15;

function longestHoldMs(wait: ResidencyWait): Ms {
  const { isContinued = false, unplannedMs = 0, isUnderWay, heldMs, remainingMs, targetMs } = wait;
  const wholeMs = heldMs + remainingMs;
  if (isContinued) return unplannedMs < MAX_UNPLANNED_MS ? continuedHoldMs(wholeMs) : 0;
  if (!isUnderWay) return 0;
  return Math.min(Math.max(HOLD_MS, targetMs * HOLD_TARGET_SHARE), wholeMs * MAX_HOLD_SHARE);
}

/**
 * Holds a request only if the model or adapter that it needs is loading and will be ready soon, or if it continues a
 * stream, which can go on nowhere else; otherwise refuses it at once with a retry-after time. Without such refusals,
 * when demand shifted between models, 35 to 64 callers within 4 s disconnected unserved after 3.2 s, with no time left
 * for a retry.
 */
export function holdOrRefuse(wait: ResidencyWait): Decision {
  const { inMs, heldMs, remainingMs, place } = wait;
  if (heldMs + inMs <= longestHoldMs(wait)) return { type: 'hold' };
  const readyMs = Math.max(0, inMs) * (1 + SPREAD_SHARE * place) + RETRY_MARGIN_MS;
  // Loads may finish late: a retry that comes too early fails, one that comes a little later costs only the delay.
  const retryAfterMs = Math.max(readyMs, spreadRetryAfterMs(remainingMs, place));
  return { type: 'refuse', retryAfterMs: Math.round(retryAfterMs) };
}
