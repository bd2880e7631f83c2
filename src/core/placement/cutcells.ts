import type { UpstreamId } from '../../base/index.js';
import { hash32 } from '../hash/index.js';

/** Upstreams of one planner's cell. */
const CELL_LIMIT = 64;

/**
 * Cuts a service's upstreams of one region into cells of at most 64. Each availability zone is dealt
 * round over the cells in the order of a hash, so that every cell has a part of every zone.
 */
export function cutCells<
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
