import type { Ms } from '../../base/index.js';
import { answerDigest } from './answerdigest.js';
import { clearSuspect } from './clearsuspect.js';
import { isNewer } from './isnewer.js';
import { isWanted } from './iswanted.js';
import type { MeshChange } from './meshchange.js';
import type { MeshDigest } from './meshdigest.js';
import type { MeshState } from './meshstate.js';
import { promptPull } from './promptpull.js';

const DOCUMENTS = 'document/';

/** Returns the key prefixes under which the sender of a digest holds newer records than this process. */
function keysAhead(state: MeshState, digest: MeshDigest): readonly string[] {
  const keys = digest.versions
    .filter(({ key }) => isWanted(state.self, key))
    .filter((version) => isNewer(version, state.records.get(version.key)))
    .map(({ key }) => key);
  const behind = state.self.role === 'entry' && digest.revision > state.revision;
  return behind ? [...keys, DOCUMENTS] : keys;
}

/** Answers a peer's pull; if the peer holds newer records, pulls from it in turn. */
export function onPullArrived(
  state: MeshState,
  event: { readonly callId: number; readonly digest: MeshDigest },
  nowMs: Ms,
): MeshChange {
  const { callId, digest } = event;
  const known = clearSuspect(state, digest.host);
  const batch = answerDigest(known, digest);
  const answer = { type: 'answerPull' as const, callId, batch };
  const ahead = keysAhead(known, digest);
  if (digest.host === '' || ahead.length === 0) return { state: known, effects: [answer] };
  const change = promptPull(known, digest.host, ahead, nowMs);
  return { state: change.state, effects: [answer, ...change.effects] };
}
