import type { UpstreamLoad } from './upstreamload.js';

/** Subtracts from the sums what an entry reported itself; upstreams without requests of other entries are left out. */
export function loadOfOthers(
  sums: readonly UpstreamLoad[],
  own: readonly UpstreamLoad[],
): readonly UpstreamLoad[] {
  const ownByUpstream = new Map(own.map(({ upstream, running }) => [upstream, running]));
  const others = sums.map(({ upstream, running }) => ({
    upstream,
    running: running - (ownByUpstream.get(upstream) ?? 0),
  }));
  return others.filter(({ running }) => running > 0);
}
