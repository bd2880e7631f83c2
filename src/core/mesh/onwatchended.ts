import type { Ms } from '../../base/index.js';
import type { MeshChange } from './meshchange.js';
import type { MeshState } from './meshstate.js';
import { moveStore } from './movestore.js';
import { storeFailed } from './storefailed.js';

/** A relay's watch is over: it lists anew, at once if the store has dropped what the watch needs. */
export function onWatchEnded(state: MeshState, compacted: boolean, nowMs: Ms): MeshChange {
  if (compacted) return moveStore(state, 'COMPACTED');
  return moveStore(storeFailed(state, nowMs), 'CUT');
}
