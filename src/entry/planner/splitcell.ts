import type { ModelId } from '../../base/index.js';
import { cellsOfModel, splitCells } from '../../core/placement/index.js';
import type { Cell, PlannerState } from '../../core/planner/index.js';

const MS_PER_SECOND = 1_000;

function expectedBusySlots(states: readonly PlannerState[], model: ModelId): number {
  let busy = 0;
  for (const { demand } of states) {
    const known = demand.models.get(model);
    const level = (known?.rate as { readonly level?: number } | undefined)?.level ?? 0;
    busy += (level * (known?.serviceTimeMs ?? 0)) / MS_PER_SECOND;
  }
  return busy;
}

/**
 * Splits a region that is too large for one plan into cells. Each model is assigned to as many cells as its demand fills.
 */
export function splitCell(region: Cell, states: readonly PlannerState[]): readonly Cell[] {
  const parts = splitCells(region.upstreams);
  if (parts.length === 1) return [region];
  return parts.map((upstreams, index) => {
    const slots = upstreams.reduce((sum, upstream) => sum + upstream.slots, 0);
    const ids = new Set(upstreams.map(({ id }) => id));
    const isInCell = ({ id }: { readonly id: ModelId }) =>
      cellsOfModel(id, parts.length, expectedBusySlots(states, id), slots).includes(index);
    return {
      ...region,
      upstreams,
      models: region.models.filter(isInCell),
      counters: region.counters.filter(({ upstream }) => ids.has(upstream)),
      loadsPerSecond: region.loadsPerSecond / parts.length,
      parallelLoads: Math.max(1, Math.floor(region.parallelLoads / parts.length)),
    };
  });
}
