import type { Ms } from '../../base/index.js';
import { spreadRetryAfterMs } from '../retryafter/index.js';
import type { QueueRefusal } from './queuerefusal.js';

/** A forecast of this time is spread over it by up to this fraction. */
const SPREAD_SHARE = 0.25;
/**
 * Range, as fractions of the caller's remaining time, of the result if the forecast is later. Callers accept up to a
 * third of their remaining time and give up otherwise.
 */
const LATEST_SHARE = 0.27;
const LATEST_SPREAD_SHARE = 0.06;

/**
 * Returns the retry-after time of a refusal: when a request that arrives then could be on time by the forecast, spread
 * by `place` (0 to 1). It is never less than the time by which a return is recognised.
 */
export function returnInMs(
  { expectedStartMs, request }: QueueRefusal,
  remainingMs: Ms,
  place: number,
  nowMs: Ms,
): Ms {
  const leastMs = spreadRetryAfterMs(remainingMs, place);
  const slackMs = Math.max(0, request.dueAtMs - request.arrivedAtMs);
  const hasRoomInMs = (expectedStartMs - nowMs - slackMs) * (1 + SPREAD_SHARE * place);
  const latestMs = Math.max(0, remainingMs) * (LATEST_SHARE + LATEST_SPREAD_SHARE * place);
  return Math.round(Math.max(leastMs, Math.min(hasRoomInMs, latestMs)));
}
