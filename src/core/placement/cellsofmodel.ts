import type { ModelId } from '../../base/index.js';
import { rendezvous } from '../hash/index.js';

/**
 * The cells that a model is planned in: as many of its rendezvous order as its demand fills, at least one.
 * `busySlots` is its forecast demand; `slotsPerCell` what one cell can carry.
 */
export function cellsOfModel(
  model: ModelId,
  cellCount: number,
  busySlots: number,
  slotsPerCell: number,
): readonly number[] {
  const order = rendezvous(
    model,
    Array.from({ length: cellCount }, (_, index) => String(index)),
  ).map(Number);
  const wanted = Math.ceil(busySlots / Math.max(1, slotsPerCell / 2));
  return order.slice(0, Math.min(cellCount, Math.max(1, wanted)));
}
