import { isContinuable } from '../../core/origin/index.js';
import type { Target } from './target.js';
import type { UpstreamState } from './upstreamstate.js';

/** Returns true if an upstream may serve the target's stream, as far as versions are concerned. */
export function mayServe(
  { info, mayBeginStreams }: UpstreamState,
  { model, origin, isResumable = false }: Target,
): boolean {
  return origin ? isContinuable(info, origin, model) : mayBeginStreams || !isResumable;
}
