import type { Ms } from '../../base/index.js';
import { promptPaceRules } from './promptpacerules.js';

/** Updates the estimate of an uncontended duration: follows shorter samples quickly and longer ones slowly. */
export function calmTime(calmMs: Ms, tookMs: Ms): Ms {
  if (calmMs === Infinity) return tookMs;
  const share = tookMs < calmMs ? promptPaceRules.fallShare : promptPaceRules.riseShare;
  return calmMs + (tookMs - calmMs) * share;
}
