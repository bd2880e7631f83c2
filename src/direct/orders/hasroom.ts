import type { ModelId } from '../../base/index.js';
import { heldMb } from '../../core/allocation/index.js';
import type { ServiceSpec } from '../../core/routetable/index.js';
import type { UpstreamView } from './upstreamview.js';

/** A load, and the models that are evicted before it. */
interface PlannedLoad {
  readonly model: ModelId;
  readonly adapter?: string | undefined;
  readonly evicted?: readonly ModelId[];
}

/**
 * Returns true if an upstream has room for a load beside everything that it holds, loads or unloads. A model whose load
 * is planned and not ordered yet is checked in its turn.
 */
export function hasRoom(
  { models, plannedModel }: UpstreamView,
  engine: NonNullable<ServiceSpec['engine']>,
  { model, adapter, evicted = [] }: PlannedLoad,
): boolean {
  const isModelLoad = adapter === undefined;
  let usedMb = isModelLoad ? heldMb(engine, model, 0) : 0;
  let adapterCount = 0;
  for (const [held, { adapters }] of models) {
    // The view contains the model of a move from its start on.
    const isUncounted = held === plannedModel || (isModelLoad && held === model);
    if (isUncounted || evicted.includes(held)) continue;
    const count = adapters.size + (held === model ? 1 : 0);
    usedMb += heldMb(engine, held, count);
    adapterCount += count;
  }
  return usedMb <= engine.weightsMb && (isModelLoad || adapterCount <= engine.adapterSlots);
}
