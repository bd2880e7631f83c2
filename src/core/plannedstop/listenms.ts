import type { Ms } from '../../base/index.js';
import { stopLimits } from './stoplimits.js';

/** Returns how long a stopping process still accepts connections. */
export function listenMs(graceMs: Ms): Ms {
  return Math.min(stopLimits.listeningMs, graceMs * stopLimits.listenShare);
}
