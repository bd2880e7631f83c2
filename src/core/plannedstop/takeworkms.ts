import type { Ms } from '../../base/index.js';
import { listenMs } from './listenms.js';
import { stopLimits } from './stoplimits.js';

/** How long a process that was told to stop takes requests that it reads; later ones are refused at once. */
export function takeWorkMs(graceMs: Ms): Ms {
  const listeningMs = listenMs(graceMs);
  return listeningMs - Math.min(stopLimits.refuseBeforeMs, listeningMs / 2);
}
