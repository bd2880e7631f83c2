import type { Ms } from '../../base/index.js';
import type { MeshChange } from './meshchange.js';
import type { MeshState } from './meshstate.js';
import { startPull } from './startpull.js';

/** Asks a peer that is known to hold more, at once or as soon as the pull in flight has ended. */
export function promptPull(state: MeshState, to: string, nowMs: Ms): MeshChange {
  const { pull, options } = state;
  const tooSoon = nowMs - pull.lastPromptAtMs < options.promptGapMs;
  if (pull.inFlight || tooSoon) {
    return { state: { ...state, pull: { ...pull, promptTo: to } }, effects: [] };
  }
  const asking = { ...state, pull: { ...pull, promptTo: '', lastPromptAtMs: nowMs } };
  return startPull(asking, to, 'documents', nowMs);
}
