import type {
  ClusterView,
  MakePlacement,
  PlacementOrder,
  UpstreamView,
} from '../placementpolicy.js';
import { pack } from './pack.js';
import { popularityOf } from '../popularity.js';

/** Returns the models to evict so that `sizeBytes` fit, least recently used first; undefined if they cannot fit. */
function evictions(upstream: UpstreamView, sizeBytes: number): readonly string[] | undefined {
  const evicted: string[] = [];
  let { freeBytes } = upstream;
  const idle = upstream.residents.filter(
    ({ phase, running }) => phase === 'ready' && running === 0,
  );
  for (const resident of [...idle].sort((a, b) => a.lastUsedAtMs - b.lastUsedAtMs)) {
    if (freeBytes >= sizeBytes) break;
    evicted.push(resident.model);
    freeBytes += resident.sizeBytes;
  }
  return freeBytes >= sizeBytes ? evicted : undefined;
}

/** Loads one more replica on the least loaded upstream and evicts its least recently used idle models as needed. */
function loadWhereIdle(
  model: string,
  sizeBytes: number,
  view: ClusterView,
): readonly PlacementOrder[] {
  const usable = view.upstreams.filter(
    ({ alive, leaving, checksFencing, residents }) =>
      alive &&
      !leaving &&
      (view.storeUp || checksFencing) &&
      !residents.some((resident) => resident.model === model),
  );
  for (const upstream of usable.sort((a, b) => a.running + a.queued - b.running - b.queued)) {
    const evicted = evictions(upstream, sizeBytes);
    if (!evicted) continue;
    const { index } = upstream;
    const unloads = evicted.map((old): PlacementOrder => ({
      type: 'unload',
      index,
      model: old,
      urgency: 0,
    }));
    return [...unloads, { type: 'load', index, model, urgency: 1 }];
  }
  return [];
}

/**
 * Loads a model when a request finds it in no upstream's memory, or when all upstreams that hold it have
 * refused a request. Evicts the least recently used models.
 */
export const loadOnDemand: MakePlacement = (deployment, seed) => {
  const sizes = new Map<string, number>(
    deployment.document.models.map(({ id, sizeBytes }) => [id, sizeBytes]),
  );
  const load = (model: string, view: ClusterView) =>
    loadWhereIdle(model, sizes.get(model) ?? 0, view);
  return {
    intervalMs: Infinity,
    start: (view) => pack(deployment, popularityOf(deployment, seed), view),
    plan: () => [],
    missing: load,
    refused: load,
  };
};
