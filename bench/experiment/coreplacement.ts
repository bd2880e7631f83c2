import type { Incarnation, ModelId, UpstreamId } from '../../src/base/index.js';
import { smooth, type Forecaster } from '../../src/core/forecast/index.js';
import { rendezvous } from '../../src/core/hash/index.js';
import type { CellModel, PlanInput } from '../../src/core/placement/index.js';
import {
  createPlanner,
  plannerWith,
  type Cell,
  type Counter,
  type PlannerEffect,
} from '../../src/core/planner/index.js';
import { pack } from './baseline/pack.js';
import type { Deployment } from './deployment.js';
import type {
  ClusterView,
  DemandView,
  MakePlacement,
  PlacementOrder,
  UpstreamView,
} from './placementpolicy.js';
import { popularityOf } from './popularity.js';

const INTERVAL_MS = 2_000;
/** Minimum time in memory before a model's last replica may be evicted for a model that is in no memory. */
const MIN_RESIDENCE_MS = 20_000;
/** Upstreams that an entry tries for an on-demand load. */
const MAX_RESCUE_CANDIDATES = 4;

/** Variants of the planner. */
export interface CorePlacementOptions {
  /** The document's value by default. */
  readonly movePenalty?: number;
  readonly spares?: PlanInput['spares'];
  readonly forecaster?: Forecaster<object>;
}

/** True if a model has been in an upstream's memory long enough to be evicted. */
type IsEvictable = (upstream: UpstreamView, model: string) => boolean;

type Place = Extract<PlannerEffect, { type: 'place' }>;

function modelsOf({ document }: Deployment): readonly CellModel[] {
  const weights = new Map(document.kinds.map(({ name, weight }) => [name, weight]));
  return document.models.map(({ id, version, sizeBytes, defaultKind }) => ({
    id,
    version,
    sizeBytes,
    adapters: [],
    weight: weights.get(defaultKind) ?? 1,
  }));
}

function cellUpstream(upstream: UpstreamView): Cell['upstreams'][number] {
  return {
    id: upstream.id as UpstreamId,
    availabilityZone: upstream.availabilityZone,
    capacityBytes: upstream.memoryBytes,
    slots: upstream.slots,
    role: 'mixed',
    state: upstream.alive ? 'usable' : 'lost',
    residents: upstream.residents.map(({ model, phase }) => ({
      model: model as ModelId,
      version: '1',
      phase,
      adapters: [],
    })),
  };
}

function unload(index: number, model: string): PlacementOrder {
  return { type: 'unload', index, model, urgency: 0 };
}

function isReadyElsewhere(view: ClusterView, index: number, model: string): boolean {
  return view.upstreams.some(
    (other) =>
      other.alive &&
      other.index !== index &&
      other.residents.some((held) => held.model === model && held.phase === 'ready'),
  );
}

function load(index: number, model: string, urgency: number): PlacementOrder {
  return { type: 'load', index, model, urgency };
}

/** Returns the orders for an upstream's part of the plan. Like a sidecar, evicts only when memory is needed. */
function ordersFor(
  place: Place,
  upstream: UpstreamView,
  sizes: ReadonlyMap<string, number>,
): PlacementOrder[] {
  const { index, residents } = upstream;
  const named = new Set<string>(place.models.map(({ model }) => model));
  const kept = new Set<string>(place.keepUntilPlaced);
  const victims = residents
    .filter(({ model, phase }) => phase === 'ready' && !named.has(model))
    .filter(({ model }) => !kept.has(model))
    .sort((a, b) => a.running - b.running || a.lastUsedAtMs - b.lastUsedAtMs);
  const orders: PlacementOrder[] = [];
  let { freeBytes } = upstream;
  for (const { model, urgency } of [...place.models].sort((a, b) => b.urgency - a.urgency)) {
    if (residents.some((held) => held.model === model)) continue;
    const sizeBytes = sizes.get(model) ?? 0;
    while (freeBytes < sizeBytes && victims.length > 0) {
      const victim = victims.shift()!;
      orders.push(unload(index, victim.model));
      if (victim.running === 0) freeBytes += victim.sizeBytes;
    }
    if (freeBytes < sizeBytes) continue;
    freeBytes -= sizeBytes;
    orders.push(load(index, model, urgency));
  }
  return orders;
}

/** Returns the models to evict for an on-demand load: those ready elsewhere first, then those resident long enough. */
function evictions(
  upstream: UpstreamView,
  view: ClusterView,
  sizeBytes: number,
  mayEvictLastReplica: boolean,
  isEvictable: IsEvictable,
): readonly string[] | undefined {
  const isReplica = ({ model }: UpstreamView['residents'][number]) =>
    isReadyElsewhere(view, upstream.index, model);
  const idle = upstream.residents
    .filter(({ phase, running }) => phase === 'ready' && running === 0)
    .filter((held) => isReplica(held) || (mayEvictLastReplica && isEvictable(upstream, held.model)))
    .sort((a, b) => Number(isReplica(b)) - Number(isReplica(a)) || a.lastUsedAtMs - b.lastUsedAtMs);
  const evicted: string[] = [];
  let { freeBytes } = upstream;
  for (const held of idle) {
    if (freeBytes >= sizeBytes) break;
    evicted.push(held.model);
    freeBytes += held.sizeBytes;
  }
  return freeBytes >= sizeBytes ? evicted : undefined;
}

/** Loads on the first upstream in the model's rendezvous order with free memory, else on the first that can evict. */
function rescue(
  model: string,
  view: ClusterView,
  sizeBytes: number,
  isEvictable: IsEvictable,
): readonly PlacementOrder[] {
  const usable = view.upstreams.filter(
    ({ alive, leaving, checksFencing }) => alive && !leaving && (view.storeUp || checksFencing),
  );
  const order = rendezvous(
    model,
    usable.map(({ id }) => id),
  );
  const ranked = order.flatMap((id) => usable.find((upstream) => upstream.id === id) ?? []);
  const withRoom = ranked.find(({ freeBytes }) => freeBytes >= sizeBytes);
  if (withRoom) return [load(withRoom.index, model, 9)];
  for (const mayEvictLastReplica of [false, true]) {
    for (const upstream of ranked.slice(0, MAX_RESCUE_CANDIDATES)) {
      const evicted = evictions(upstream, view, sizeBytes, mayEvictLastReplica, isEvictable);
      if (!evicted) continue;
      const unloads = evicted.map((old) => unload(upstream.index, old));
      return [...unloads, load(upstream.index, model, 9)];
    }
  }
  return [];
}

/** The planner core, and on-demand loads that need no planner. */
export function corePlacement(options: CorePlacementOptions = {}): MakePlacement {
  return (deployment, seed) => {
    const { forecaster = smooth, spares = 'last' } = options;
    const step = plannerWith({ forecaster, spares });
    const models = modelsOf(deployment);
    const sizes = new Map<string, number>(models.map(({ id, sizeBytes }) => [id, sizeBytes]));
    const { weightStore, placement } = deployment.document;
    const movePenalty = options.movePenalty ?? placement.movePenalty;
    const totals = new Map<string, Counter>();
    const wanted = new Map<string, Place>();
    const readyAtMs = new Map<string, number>();
    let planner = createPlanner();

    /** Records since when each model has been ready at each upstream. */
    const watch = ({ upstreams }: ClusterView, nowMs: number) => {
      const ready = new Set<string>();
      for (const { index, residents } of upstreams) {
        for (const { model, phase } of residents) {
          if (phase === 'ready') ready.add(`${index} ${model}`);
        }
      }
      for (const key of readyAtMs.keys()) if (!ready.has(key)) readyAtMs.delete(key);
      for (const key of ready) if (!readyAtMs.has(key)) readyAtMs.set(key, nowMs);
    };

    const count = (demand: DemandView) => {
      const before = totals.get(demand.model);
      totals.set(demand.model, {
        upstream: '' as UpstreamId,
        incarnation: 1 as Incarnation,
        model: demand.model as ModelId,
        askedCount: (before?.askedCount ?? 0) + demand.askedCount,
        refusedCount: (before?.refusedCount ?? 0) + demand.refusedCount,
        serviceTimeMs: (before?.serviceTimeMs ?? 0) + demand.serviceTimeMs,
      });
    };

    return {
      intervalMs: INTERVAL_MS,
      start: (view) => pack(deployment, popularityOf(deployment, seed), view),
      plan(view, nowMs) {
        watch(view, nowMs);
        view.demand.forEach(count);
        const cell = {
          models,
          movePenalty,
          ...weightStore,
          upstreams: view.upstreams.map(cellUpstream),
          counters: [...totals.values()],
        };
        const { state, effects } = step(planner, { type: 'round', cell }, nowMs);
        planner = state;
        for (const effect of effects) {
          if (effect.type === 'place') wanted.set(effect.upstream, effect);
        }
        return view.upstreams.flatMap((upstream) => {
          const place = wanted.get(upstream.id);
          const usable = upstream.alive && (view.storeUp || upstream.checksFencing);
          return place && usable ? ordersFor(place, upstream, sizes) : [];
        });
      },
      missing(model, view, nowMs) {
        watch(view, nowMs);
        const isEvictable: IsEvictable = ({ index }, held) =>
          nowMs - (readyAtMs.get(`${index} ${held}`) ?? nowMs) >= MIN_RESIDENCE_MS;
        return rescue(model, view, sizes.get(model) ?? 0, isEvictable);
      },
    };
  };
}
