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
 * Returns the unconfirmed loads that an upstream may still carry out after the next order: those that expect a higher
 * count of orders than it has. Loads that expect the present count are refused once it accepts the next order.
 */
function laterLoads({
  unconfirmed,
  orderCount = Infinity,
}: UpstreamView): UpstreamView['unconfirmed'] {
  if (unconfirmed.length === 0) return unconfirmed;
  return unconfirmed.filter(
    ({ action, expectedOrderCount }) => action === 'load' && expectedOrderCount > orderCount,
  );
}

/**
 * Returns true if an upstream has room for a load beside everything that it holds, loads or unloads. A model whose load
 * is planned and not ordered yet is checked in its turn.
 */
export function hasRoom(
  view: UpstreamView,
  engine: NonNullable<ServiceSpec['engine']>,
  { model, adapter, evicted = [] }: PlannedLoad,
): boolean {
  const { models, plannedModel } = view;
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
  for (const later of laterLoads(view)) {
    const isAdapter = later.adapter !== undefined;
    const ownMb = heldMb(engine, later.model, 0);
    usedMb += isAdapter ? heldMb(engine, later.model, 1) - ownMb : ownMb;
    adapterCount += isAdapter ? 1 : 0;
  }
  return usedMb <= engine.weightsMb && (isModelLoad || adapterCount <= engine.adapterSlots);
}
