import type { UpstreamId } from '../../base/index.js';
import { hash32 } from '../hash/index.js';

/** Maximum number of upstreams in a cell. */
const CELL_LIMIT = 64;

/**
 * Partitions a service's upstreams of one region into cells of at most `limit`. The upstreams of each availability
 * zone are assigned round-robin in hash order, so that every cell gets a part of every zone.
 */
export function splitCells<
  Upstream extends { readonly id: UpstreamId; readonly availabilityZone: string },
>(upstreams: readonly Upstream[], limit: number = CELL_LIMIT): readonly (readonly Upstream[])[] {
  const count = Math.max(1, Math.ceil(upstreams.length / limit));
  const cells: Upstream[][] = Array.from({ length: count }, () => []);
  const ordered = [...upstreams].sort(
    (a, b) => a.availabilityZone.localeCompare(b.availabilityZone) || hash32(a.id) - hash32(b.id),
  );
  ordered.forEach((upstream, index) => cells[index % count]?.push(upstream));
  return cells;
}
