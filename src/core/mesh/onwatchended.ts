import type { Ms } from '../../base/index.js';
import type { MeshChange } from './meshchange.js';
import type { MeshState } from './meshstate.js';
import { advanceStore } from './advancestore.js';
import { scheduleStoreRetry } from './schedulestoreretry.js';

/**
 * Handles the end of a relay's watch. The store is listed again: at once if it has compacted the
 * revisions that the watch needs, otherwise after the retry delay.
 */
export function onWatchEnded(state: MeshState, compacted: boolean, nowMs: Ms): MeshChange {
  if (compacted) return advanceStore(state, 'COMPACTED');
  return advanceStore(scheduleStoreRetry(state, nowMs), 'CUT');
}
