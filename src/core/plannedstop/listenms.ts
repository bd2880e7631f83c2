import type { Ms } from '../../base/index.js';
import { stopLimits } from './stoplimits.js';

/** How long a process that was told to stop still accepts connections. */
export function listenMs(graceMs: Ms): Ms {
  return Math.min(stopLimits.listenOnMs, graceMs * stopLimits.listenShare);
}
