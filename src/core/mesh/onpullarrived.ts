import type { Ms } from '../../base/index.js';
import { answerDigest } from './answerdigest.js';
import { clearSuspect } from './clearsuspect.js';
import { isNewer } from './isnewer.js';
import { isWanted } from './iswanted.js';
import type { MeshChange } from './meshchange.js';
import type { MeshDigest } from './meshdigest.js';
import type { MeshState } from './meshstate.js';
import { promptPull } from './promptpull.js';

function isAhead(state: MeshState, digest: MeshDigest): boolean {
  if (state.self.role === 'entry' && digest.revision > state.revision) return true;
  return digest.versions.some(
    (version) =>
      isWanted(state.self, version.key) && isNewer(version, state.records.get(version.key)),
  );
}

/** A peer asks for what it lacks; if it holds more than this process, it is asked in turn. */
export function onPullArrived(
  state: MeshState,
  event: { readonly callId: number; readonly digest: MeshDigest },
  nowMs: Ms,
): MeshChange {
  const { callId, digest } = event;
  const known = clearSuspect(state, digest.host);
  const batch = answerDigest(known, digest);
  const answer = { type: 'answerPull' as const, callId, batch };
  if (digest.host === '' || !isAhead(known, digest)) return { state: known, effects: [answer] };
  const change = promptPull(known, digest.host, nowMs);
  return { state: change.state, effects: [answer, ...change.effects] };
}
