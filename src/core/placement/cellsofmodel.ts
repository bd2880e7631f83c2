import type { ModelId } from '../../base/index.js';
import { rendezvous } from '../hash/index.js';

/**
 * Returns the cells in which a model is planned: the first of its rendezvous order, as many as its demand needs.
 * `busySlots` is the forecast demand, `slotsPerCell` the capacity of one cell.
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
