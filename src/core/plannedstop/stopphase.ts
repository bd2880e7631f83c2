import type { Ms } from '../../base/index.js';
import { listenMs } from './listenms.js';

/**
 * - `listening`: takes what the balancer still sends.
 * - `finishing`: takes nothing new; what is there goes on.
 * - `refusing`: what has not been sent to an upstream is refused, as its answer would come too late.
 * - `ending`: every request gets its final answer; the process ends when they are written.
 * - `over`: the process ends, whatever is left.
 */
type StopPhase = 'listening' | 'finishing' | 'refusing' | 'ending' | 'over';

/**
 * From this part of the grace on nothing waits for a place or a model: an answer takes about a sixth of a
 * grace of 8 s (1.4 s for the mean stream).
 */
const REFUSE_SHARE = 0.75;
/** Leaves 0.5 s of a grace of 8 s for final answers to be written, also at half a core. */
const END_SHARE = 0.94;
/** SIGKILL comes at the end of the grace; the last look may be 0.1 s late. */
const OVER_SHARE = 0.985;

/** Where a planned stop stands this long after it began. */
export function stopPhase(tookMs: Ms, graceMs: Ms): StopPhase {
  if (tookMs >= graceMs * OVER_SHARE) return 'over';
  if (tookMs >= graceMs * END_SHARE) return 'ending';
  if (tookMs >= graceMs * REFUSE_SHARE) return 'refusing';
  return tookMs >= listenMs(graceMs) ? 'finishing' : 'listening';
}
