import type { Ms } from '../../base/index.js';
import { choosePeer } from './choosepeer.js';
import type { MeshChange } from './meshchange.js';
import type { MeshState } from './meshstate.js';
import { promptPull } from './promptpull.js';

const DOCUMENTS = ['document/'];

/** Handles a document revision seen on a call: pulls if it is higher than the known ones. */
export function onRevisionSeen(
  state: MeshState,
  event: { readonly revision: number; readonly from: string },
  nowMs: Ms,
): MeshChange {
  const knownRevision =
    state.self.role === 'sidecar'
      ? Math.max(state.revision, state.pull.checkedRevision)
      : state.revision;
  if (event.revision <= knownRevision || state.pull.prompts.size > 0) return { state, effects: [] };
  if (state.self.role === 'entry' && event.from) {
    return promptPull(state, event.from, DOCUMENTS, nowMs);
  }
  const { state: next, peer } = choosePeer(state, nowMs);
  return peer === undefined ? { state, effects: [] } : promptPull(next, peer, DOCUMENTS, nowMs);
}
