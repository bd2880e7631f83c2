import type { Ms, UpstreamId } from '../../base/index.js';
import { routingLimits } from './routinglimits.js';
import type { RoutingState } from './routingstate.js';

/** Notes that an upstream has a prefix in its cache, and forgets the oldest note at the limit. */
export function rememberPrefix(
  state: RoutingState,
  upstream: UpstreamId,
  prefixHash: string,
  atMs: Ms,
): RoutingState {
  if (!prefixHash) return state;
  const key = `${upstream} ${prefixHash}`;
  // Copying thousands of notes for each answer would cost more than the decision: the table is
  // changed in place, and only the newest state is ever used.
  const warmth = state.warmth as Map<string, { score: number; atMs: Ms }>;
  warmth.delete(key);
  warmth.set(key, { score: 1, atMs });
  const [oldest] = warmth.keys();
  if (warmth.size > routingLimits.warmthEntries && oldest !== undefined) warmth.delete(oldest);
  return state;
}
