import type { Ms, UpstreamId } from '../../base/index.js';
import { routingLimits } from './routinglimits.js';
import type { RoutingState } from './routingstate.js';

/** How likely an upstream still has a prefix in its cache, 0 to 1. A hint, never a fact. */
export function warmthOf(
  state: RoutingState,
  upstream: UpstreamId,
  prefixHash: string,
  nowMs: Ms,
): number {
  const known = state.warmth.get(`${upstream} ${prefixHash}`);
  if (!known) return 0;
  return known.score * 0.5 ** ((nowMs - known.atMs) / routingLimits.warmthHalfLifeMs);
}
