import type { Ms } from '../../base/index.js';
import { promptPaceRules } from './promptpacerules.js';

/** Updates the estimate of an uncontended duration: follows shorter samples quickly and longer ones slowly. */
export function unloadedTimeMs(unloadedMs: Ms, tookMs: Ms): Ms {
  if (unloadedMs === Infinity) return tookMs;
  const share = tookMs < unloadedMs ? promptPaceRules.fallShare : promptPaceRules.riseShare;
  return unloadedMs + (tookMs - unloadedMs) * share;
}
