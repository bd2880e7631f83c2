import type { Ms } from '../../base/index.js';
import type { MeshChange } from './meshchange.js';
import type { MeshState } from './meshstate.js';
import { startPull } from './startpull.js';

function merged(held: readonly string[] | undefined, more: readonly string[]): readonly string[] {
  if (!held) return more;
  return held.length === 0 || more.length === 0 ? [] : [...new Set([...held, ...more])];
}

/**
 * Pulls ahead of schedule from a peer that is known to hold newer records under these key prefixes (an
 * empty list means all): now, or once the pull in flight has ended and `promptGapMs` has passed.
 */
export function promptPull(
  state: MeshState,
  to: string,
  interests: readonly string[],
  nowMs: Ms,
): MeshChange {
  const { pull, options } = state;
  const prompts = new Map(pull.prompts);
  const wanted = merged(prompts.get(to), interests);
  const tooSoon = nowMs - pull.lastPromptAtMs < options.promptGapMs;
  if (pull.inFlight || tooSoon) {
    prompts.set(to, wanted);
    return { state: { ...state, pull: { ...pull, prompts } }, effects: [] };
  }
  prompts.delete(to);
  const asking = { ...state, pull: { ...pull, prompts, lastPromptAtMs: nowMs } };
  return startPull(asking, to, wanted.length === 0 ? 'all' : 'some', nowMs, wanted);
}
