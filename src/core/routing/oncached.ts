import type { Ms } from '../../base/index.js';
import { rememberPrefix } from './rememberprefix.js';
import type { RoutingChange } from './routingchange.js';
import type { RoutingEvent } from './routingevent.js';
import type { RoutingState } from './routingstate.js';

type Cached = Extract<RoutingEvent, { type: 'cached' }>;

/** Factor applied to the scores of an upstream's prefixes after cache events were lost. */
const GAP_FACTOR = 0.5;

function scaleScores(
  state: RoutingState,
  matches: (key: string) => boolean,
  share: number,
): RoutingState {
  const scores = new Map(state.prefixScores);
  for (const [key, known] of state.prefixScores) {
    if (matches(key)) scores.set(key, { ...known, score: known.score * share });
  }
  return { ...state, prefixScores: scores };
}

/** Applies an event of an engine's prefix cache. Late or lost events only lower the scores of its prefixes. */
export function onCached(state: RoutingState, event: Cached, nowMs: Ms): RoutingChange {
  const { upstream, prefixHash, change, ageMs } = event;
  const handlers = {
    stored: () => rememberPrefix(state, upstream, prefixHash, nowMs - ageMs),
    evicted: () => scaleScores(state, (key) => key === `${upstream} ${prefixHash}`, 0),
    gap: () => scaleScores(state, (key) => key.startsWith(`${upstream} `), GAP_FACTOR),
  };
  return { state: handlers[change](), effects: [] };
}
