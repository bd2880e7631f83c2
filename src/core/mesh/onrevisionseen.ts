import type { Ms } from '../../base/index.js';
import { choosePeer } from './choosepeer.js';
import type { MeshChange } from './meshchange.js';
import type { MeshState } from './meshstate.js';
import { promptPull } from './promptpull.js';

const DOCUMENTS = ['document/'];

/** A call carried a revision: if it is higher than all that this process has seen, it asks for more. */
export function onRevisionSeen(
  state: MeshState,
  event: { readonly revision: number; readonly from: string },
  nowMs: Ms,
): MeshChange {
  const covered =
    state.self.role === 'sidecar'
      ? Math.max(state.revision, state.pull.coveredRevision)
      : state.revision;
  if (event.revision <= covered || state.pull.prompts.size > 0) return { state, effects: [] };
  if (state.self.role === 'entry' && event.from) {
    return promptPull(state, event.from, DOCUMENTS, nowMs);
  }
  const { state: next, peer } = choosePeer(state, nowMs);
  return peer === undefined ? { state, effects: [] } : promptPull(next, peer, DOCUMENTS, nowMs);
}
