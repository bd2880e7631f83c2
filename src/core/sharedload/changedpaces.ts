import type { UpstreamId } from '../../base/index.js';
import type { UpstreamPace } from './upstreampace.js';

/** Returns the paces that differ from what the holder was told before. */
export function changedPaces(
  paces: readonly UpstreamPace[],
  told: ReadonlyMap<UpstreamId, number>,
): readonly UpstreamPace[] {
  return paces.filter(({ upstream, percent }) => told.get(upstream) !== percent);
}
