import type { Ms } from '../../base/index.js';
import { rateRules } from './raterules.js';

/**
 * Returns the earliest time of the first slot under a limit reported at `reportedAtMs`, given `sentCount` requests in
 * the window before it: when enough of them have left the window for the rest and the limit to fit into it.
 */
export function firstSlotAtMs(perS: number, sentCount: number, reportedAtMs: Ms): Ms {
  const { windowMs, excess, slack, knownShare } = rateRules;
  const allowed = knownShare * ((excess * perS * windowMs) / 1000 + slack);
  if (sentCount <= allowed) return reportedAtMs;
  return reportedAtMs + windowMs * (1 - allowed / sentCount);
}
