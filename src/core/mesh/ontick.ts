import type { Ms } from '../../base/index.js';
import { catchUp } from './catchup.js';
import { choosePeer } from './choosepeer.js';
import { expire } from './expire.js';
import { flush } from './flush.js';
import { isRelay } from './isrelay.js';
import type { MeshChange } from './meshchange.js';
import type { MeshState } from './meshstate.js';
import { advanceStore } from './advancestore.js';
import { promptPull } from './promptpull.js';
import { startPull } from './startpull.js';
import { suspect } from './suspect.js';
import { chain } from './chain.js';

function updateStoreRole(state: MeshState, nowMs: Ms): MeshChange {
  const { phase, retryAtMs, resyncAtMs } = state.store;
  const chosen = isRelay(state, nowMs);
  if (!chosen && phase !== 'closed') return advanceStore(state, 'PASSED_OVER');
  if (chosen && phase === 'closed') return advanceStore(state, 'CHOSEN');
  if (phase === 'waiting' && nowMs >= retryAtMs) return advanceStore(state, 'RETRY');
  if (phase === 'watching' && nowMs >= resyncAtMs) return advanceStore(state, 'RESYNC');
  return { state, effects: [] };
}

function timeOutPull(state: MeshState, nowMs: Ms): MeshChange {
  const { inFlight } = state.pull;
  if (!inFlight || nowMs - inFlight.sinceMs < state.options.pullTimeoutMs) {
    return { state, effects: [] };
  }
  const next = { ...state, pull: { ...state.pull, inFlight: undefined } };
  return suspect(next, inFlight.to, [], nowMs);
}

function pullWhenDue(state: MeshState, nowMs: Ms): MeshChange {
  const { pull, catchUp: progress } = state;
  if (pull.inFlight) return { state, effects: [] };
  const [prompt] = pull.prompts;
  if (prompt && nowMs - pull.lastPromptAtMs >= state.options.promptGapMs) {
    return promptPull(state, ...prompt, nowMs);
  }
  if (nowMs < pull.nextAtMs) return { state, effects: [] };
  const { state: next, peer } = choosePeer(state, nowMs);
  if (peer === undefined) return { state, effects: [] };
  const full = progress.phase !== 'current' || nowMs >= pull.nextFullAtMs;
  return startPull(next, peer, full ? 'all' : 'light', nowMs);
}

/** Performs all actions that are due at this time. */
export function onTick(state: MeshState, nowMs: Ms): MeshChange {
  const steps = [updateStoreRole, timeOutPull, pullWhenDue, flush, expire, catchUp];
  let change: MeshChange = { state, effects: [] };
  for (const step of steps) change = chain(change, (next) => step(next, nowMs));
  return change;
}
