import type { Ms } from '../../base/index.js';
import { listenMs } from './listenms.js';
import { stopLimits } from './stoplimits.js';

/** Returns how long a stopping process accepts the requests that it reads; later ones are refused at once. */
export function acceptRequestsMs(graceMs: Ms): Ms {
  const listeningMs = listenMs(graceMs);
  return listeningMs - Math.min(stopLimits.refuseBeforeMs, listeningMs / 2);
}
