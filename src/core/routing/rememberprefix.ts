import type { Ms, UpstreamId } from '../../base/index.js';
import { routingLimits } from './routinglimits.js';
import type { RoutingState } from './routingstate.js';

/** Records that an upstream has a prefix in its cache; evicts the oldest entry at the size limit. */
export function rememberPrefix(
  state: RoutingState,
  upstream: UpstreamId,
  prefixHash: string,
  atMs: Ms,
): RoutingState {
  if (!prefixHash) return state;
  const key = `${upstream} ${prefixHash}`;
  // Copying thousands of entries for each answer would cost more than the decision, so the table is
  // mutated in place. This is safe because only the newest state is ever used.
  const scores = state.prefixScores as Map<string, { score: number; atMs: Ms }>;
  scores.delete(key);
  scores.set(key, { score: 1, atMs });
  const [oldest] = scores.keys();
  if (scores.size > routingLimits.prefixEntries && oldest !== undefined) scores.delete(oldest);
  return state;
}
