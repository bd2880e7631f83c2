import type { Ms } from '../../base/index.js';
import { catchUp } from './catchup.js';
import { choosePeer } from './choosepeer.js';
import { expire } from './expire.js';
import { flush } from './flush.js';
import { isRelay } from './isrelay.js';
import type { MeshChange } from './meshchange.js';
import type { MeshState } from './meshstate.js';
import { moveStore } from './movestore.js';
import { promptPull } from './promptpull.js';
import { startPull } from './startpull.js';
import { suspect } from './suspect.js';
import { chain } from './chain.js';

function tendStore(state: MeshState, nowMs: Ms): MeshChange {
  const { phase, retryAtMs, resyncAtMs } = state.store;
  const chosen = isRelay(state, nowMs);
  if (!chosen && phase !== 'closed') return moveStore(state, 'PASSED_OVER');
  if (chosen && phase === 'closed') return moveStore(state, 'CHOSEN');
  if (phase === 'waiting' && nowMs >= retryAtMs) return moveStore(state, 'RETRY');
  if (phase === 'watching' && nowMs >= resyncAtMs) return moveStore(state, 'RESYNC');
  return { state, effects: [] };
}

function giveUpPull(state: MeshState, nowMs: Ms): MeshChange {
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

/** Time has passed: everything that is due is done. */
export function onTick(state: MeshState, nowMs: Ms): MeshChange {
  const steps = [tendStore, giveUpPull, pullWhenDue, flush, expire, catchUp];
  let change: MeshChange = { state, effects: [] };
  for (const step of steps) change = chain(change, (next) => step(next, nowMs));
  return change;
}
