import type { Ms } from '../../base/index.js';
import { rateRules } from './raterules.js';

/**
 * When the first slot of a limit may lie that was heard of at `heardAtMs`, after `sentCount` requests in the window
 * before: once so many of them have left the window that the rest and the limit fit into it.
 */
export function settledAtMs(perS: number, sentCount: number, heardAtMs: Ms): Ms {
  const { windowMs, excess, slack, knownShare } = rateRules;
  const most = knownShare * ((excess * perS * windowMs) / 1000 + slack);
  if (sentCount <= most) return heardAtMs;
  return heardAtMs + windowMs * (1 - most / sentCount);
}
