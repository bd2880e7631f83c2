import type { Ms } from '../../base/index.js';
import { listenMs } from './listenms.js';

/**
 * - `listening`: accepts what the load balancer still sends.
 * - `finishing`: accepts nothing new; requests in flight continue.
 * - `refusing`: requests not yet sent to an upstream are refused, as their answers would come too late.
 * - `ending`: every request gets its final answer; the process exits once these are written.
 * - `over`: the process exits, even if answers are unfinished.
 */
type StopPhase = 'listening' | 'finishing' | 'refusing' | 'ending' | 'over';

/**
 * From this share of the grace period on no request waits for a free slot or a model: an answer takes about a sixth
 * of a grace period of 8 s (1.4 s for the mean stream).
 */
const REFUSING_SHARE = 0.75;
/** Leaves 0.5 s of a grace period of 8 s for writing final answers, enough on half a core as well. */
const ENDING_SHARE = 0.94;
/** SIGKILL comes at the end of the grace period; the last check may be 0.1 s late. */
const OVER_SHARE = 0.985;

/** Returns the phase of a planned stop that began `tookMs` ago. */
export function stopPhase(tookMs: Ms, graceMs: Ms): StopPhase {
  if (tookMs >= graceMs * OVER_SHARE) return 'over';
  if (tookMs >= graceMs * ENDING_SHARE) return 'ending';
  if (tookMs >= graceMs * REFUSING_SHARE) return 'refusing';
  return tookMs >= listenMs(graceMs) ? 'finishing' : 'listening';
}
