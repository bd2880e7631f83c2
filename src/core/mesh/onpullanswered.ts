import type { Ms } from '../../base/index.js';
import { adopt } from './adopt.js';
import { catchUp } from './catchup.js';
import { clearSuspect } from './clearsuspect.js';
import type { MeshBatch } from './meshbatch.js';
import type { MeshChange } from './meshchange.js';
import type { MeshState } from './meshstate.js';
import { spread } from './spread.js';
import { startPull } from './startpull.js';
import { chain } from './chain.js';

type Scope = NonNullable<MeshState['pull']['inFlight']>['scope'];

/** Notes what an answered pull says about catching up. */
function note(state: MeshState, from: string, batch: MeshBatch, scope: Scope): MeshState {
  const { catchUp: progress, pull } = state;
  const full = scope === 'all';
  const counts = full && batch.caughtUp && !batch.truncated;
  const readyPeers = counts ? [...new Set([...progress.readyPeers, from])] : progress.readyPeers;
  const coveredRevision = batch.truncated
    ? pull.coveredRevision
    : Math.max(pull.coveredRevision, batch.revision);
  return {
    ...state,
    catchUp: { ...progress, readyPeers, anyAnswer: progress.anyAnswer || full },
    pull: { ...pull, inFlight: undefined, coveredRevision },
  };
}

/** Asks the same peer again, by versions, when its documents still differ and it is not behind. */
function askFurther(
  state: MeshState,
  from: string,
  batch: MeshBatch,
  scope: Scope,
  nowMs: Ms,
): MeshChange {
  const { inFlight, prompts } = state.pull;
  if (inFlight || prompts.size > 0) return { state, effects: [] };
  if (batch.truncated) return startPull(state, from, scope === 'light' ? 'some' : scope, nowMs);
  const differs = batch.hash !== state.documentsHash && batch.revision >= state.revision;
  // Once is enough: what a comparison by versions does not bring, this peer does not hold.
  if (scope !== 'light' || !differs) return { state, effects: [] };
  return startPull(state, from, 'some', nowMs);
}

/** A peer answered a pull: what is newer is adopted and passed on. */
export function onPullAnswered(
  state: MeshState,
  event: { readonly from: string; readonly batch: MeshBatch },
  nowMs: Ms,
): MeshChange {
  const { from, batch } = event;
  const { inFlight } = state.pull;
  const expected = inFlight?.to === from;
  const known = clearSuspect(state, from);
  const { state: held, adopted } = adopt(known, batch.records, nowMs);
  const change = spread(held, adopted, from, nowMs);
  if (!expected) return change;
  const noted = { ...change, state: note(change.state, from, batch, inFlight.scope) };
  const further = chain(noted, (next) => askFurther(next, from, batch, inFlight.scope, nowMs));
  return chain(further, (next) => catchUp(next, nowMs));
}
