import type { Deployment } from '../deployment.js';
import type { ClusterView, PlacementOrder } from '../placementpolicy.js';

interface Bin {
  readonly index: number;
  readonly availabilityZone: string;
  freeBytes: number;
  readonly models: Set<string>;
  demand: number;
}

function place(
  bins: readonly Bin[],
  model: string,
  sizeBytes: number,
  demand: number,
): Bin | undefined {
  const taken = bins.filter(({ models }) => models.has(model));
  const zones = new Set(taken.map(({ availabilityZone }) => availabilityZone));
  let best: Bin | undefined;
  for (const bin of bins) {
    if (bin.models.has(model) || bin.freeBytes < sizeBytes) continue;
    const isNewZone = !zones.has(bin.availabilityZone);
    const isBestNewZone = best && !zones.has(best.availabilityZone);
    const better =
      !best ||
      (isNewZone && !isBestNewZone) ||
      (isNewZone === isBestNewZone && bin.demand < best.demand);
    if (better) best = bin;
  }
  if (!best) return undefined;
  best.models.add(model);
  best.freeBytes -= sizeBytes;
  best.demand += demand;
  return best;
}

/**
 * Packs every model once, the largest first, then fills the remaining memory with replicas of the models
 * with the highest mean demand. A good placement for a run in which nothing moves.
 */
export function pack(
  { document }: Deployment,
  popularity: ReadonlyMap<string, number>,
  view: ClusterView,
): readonly PlacementOrder[] {
  const bins: Bin[] = view.upstreams.map(({ index, availabilityZone, freeBytes }) => ({
    index,
    availabilityZone,
    freeBytes,
    models: new Set(),
    demand: 0,
  }));
  const demandOf = (model: string) => popularity.get(model) ?? 0;
  const orders: PlacementOrder[] = [];
  const add = (model: string, sizeBytes: number, demand: number) => {
    const bin = place(bins, model, sizeBytes, demand);
    if (bin) orders.push({ type: 'load', index: bin.index, model, urgency: 0 });
    return bin !== undefined;
  };
  const bySize = [...document.models].sort((a, b) => b.sizeBytes - a.sizeBytes);
  for (const { id, sizeBytes } of bySize) add(id, sizeBytes, demandOf(id));
  const replicas = new Map<string, number>(document.models.map(({ id }) => [id, 1]));
  const open = new Set(document.models);
  while (open.size > 0) {
    const need = ({ id }: { readonly id: string }) => demandOf(id) / replicas.get(id)!;
    const [next] = [...open].sort((a, b) => need(b) - need(a));
    if (!next) break;
    if (add(next.id, next.sizeBytes, need(next))) replicas.set(next.id, replicas.get(next.id)! + 1);
    else open.delete(next);
  }
  return orders;
}
