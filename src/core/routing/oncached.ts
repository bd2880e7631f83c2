import type { Ms } from '../../base/index.js';
import { rememberPrefix } from './rememberprefix.js';
import type { RoutingChange } from './routingchange.js';
import type { RoutingEvent } from './routingevent.js';
import type { RoutingState } from './routingstate.js';

type Cached = Extract<RoutingEvent, { type: 'cached' }>;

/** What a note is worth after events of its upstream were lost. */
const GAP_SHARE = 0.5;

function lower(
  state: RoutingState,
  matches: (key: string) => boolean,
  share: number,
): RoutingState {
  const warmth = new Map(state.warmth);
  for (const [key, known] of state.warmth) {
    if (matches(key)) warmth.set(key, { ...known, score: known.score * share });
  }
  return { ...state, warmth };
}

/** Takes news of an engine's prefix cache. Late or lost news only lowers what a note is worth. */
export function onCached(state: RoutingState, event: Cached, nowMs: Ms): RoutingChange {
  const { upstream, prefixHash, change, ageMs } = event;
  const handlers = {
    stored: () => rememberPrefix(state, upstream, prefixHash, nowMs - ageMs),
    evicted: () => lower(state, (key) => key === `${upstream} ${prefixHash}`, 0),
    gap: () => lower(state, (key) => key.startsWith(`${upstream} `), GAP_SHARE),
  };
  return { state: handlers[change](), effects: [] };
}
