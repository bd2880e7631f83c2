import type { Ms } from '../../base/index.js';
import { listenMs } from './listenms.js';
import { stopTimes } from './stoptimes.js';

/**
 * - `listening`: accepts what the load balancer still sends.
 * - `finishing`: accepts nothing new; requests in flight continue.
 * - `refusing`: requests not yet sent to an upstream are refused, as their answers would come too late.
 * - `ending`: every request gets its final answer; the process exits once these are written.
 * - `over`: the process exits, even if answers are unfinished.
 */
type StopPhase = 'listening' | 'finishing' | 'refusing' | 'ending' | 'over';

/** SIGKILL comes at the end of the grace period; the last check may be 0.1 s late. */
const OVER_SHARE = 0.985;

/** Returns the phase of a planned stop that began `tookMs` ago. */
export function stopPhase(tookMs: Ms, graceMs: Ms): StopPhase {
  if (tookMs >= graceMs * OVER_SHARE) return 'over';
  const { refusingMs, endingMs } = stopTimes(graceMs);
  if (tookMs >= endingMs) return 'ending';
  if (tookMs >= refusingMs) return 'refusing';
  return tookMs >= listenMs(graceMs) ? 'finishing' : 'listening';
}
