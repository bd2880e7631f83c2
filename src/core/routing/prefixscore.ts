import type { Ms, UpstreamId } from '../../base/index.js';
import { routingLimits } from './routinglimits.js';
import type { RoutingState } from './routingstate.js';

/** Returns a score from 0 to 1 for how likely an upstream still has a prefix in its cache; it is only a hint. */
export function prefixScore(
  state: RoutingState,
  upstream: UpstreamId,
  prefixHash: string,
  nowMs: Ms,
): number {
  const known = state.prefixScores.get(`${upstream} ${prefixHash}`);
  if (!known) return 0;
  return known.score * 0.5 ** ((nowMs - known.atMs) / routingLimits.prefixHalfLifeMs);
}
