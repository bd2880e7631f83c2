import type { Ms } from '../../base/index.js';
import { adopt } from './adopt.js';
import { catchUp } from './catchup.js';
import { clearSuspect } from './clearsuspect.js';
import type { MeshBatch } from './meshbatch.js';
import type { MeshChange } from './meshchange.js';
import type { MeshState } from './meshstate.js';
import { propagate } from './propagate.js';
import { startPull } from './startpull.js';
import { chain } from './chain.js';

type Scope = NonNullable<MeshState['pull']['inFlight']>['scope'];

/** Records the catch-up progress that an answered pull proves. */
function recordAnswer(state: MeshState, from: string, batch: MeshBatch, scope: Scope): MeshState {
  const { catchUp: progress, pull } = state;
  const full = scope === 'all';
  const counts = full && batch.caughtUp && !batch.truncated;
  const readyPeers = counts ? [...new Set([...progress.readyPeers, from])] : progress.readyPeers;
  const checkedRevision = batch.truncated
    ? pull.checkedRevision
    : Math.max(pull.checkedRevision, batch.revision);
  return {
    ...state,
    catchUp: { ...progress, readyPeers, anyAnswer: progress.anyAnswer || full },
    pull: { ...pull, inFlight: undefined, checkedRevision },
  };
}

/**
 * Pulls from the same peer again: the next part of a truncated answer, or by versions if its documents
 * still differ and it is not behind.
 */
function continuePull(
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
  // One comparison by versions suffices: records that it does not return are not held by this peer.
  if (scope !== 'light' || !differs) return { state, effects: [] };
  return startPull(state, from, 'some', nowMs);
}

/** Handles the answer to a pull: adopts newer records and propagates them. */
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
  const change = propagate(held, adopted, from, nowMs);
  if (!expected) return change;
  const noted = { ...change, state: recordAnswer(change.state, from, batch, inFlight.scope) };
  const further = chain(noted, (next) => continuePull(next, from, batch, inFlight.scope, nowMs));
  return chain(further, (next) => catchUp(next, nowMs));
}
