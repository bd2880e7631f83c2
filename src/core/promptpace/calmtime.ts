import type { Ms } from '../../base/index.js';
import { paceRules } from './pacerules.js';

/** Follows what something takes while nothing stands in its way: shorter times at once, longer ones slowly. */
export function calmTime(calmMs: Ms, tookMs: Ms): Ms {
  if (calmMs === Infinity) return tookMs;
  const share = tookMs < calmMs ? paceRules.fallShare : paceRules.riseShare;
  return calmMs + (tookMs - calmMs) * share;
}
