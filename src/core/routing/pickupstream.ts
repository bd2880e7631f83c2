import type { Ms, UpstreamId } from '../../base/index.js';
import { hash32, rendezvous } from '../hash/index.js';
import { freeAtMs } from './freeatms.js';
import { relativeLoad } from './relativeload.js';
import { routingLimits } from './routinglimits.js';
import type { RouteWant } from './routewant.js';
import type { RoutingState } from './routingstate.js';
import type { UpstreamView } from './upstreamview.js';
import { warmthOf } from './warmthof.js';

interface Loaded {
  readonly view: UpstreamView;
  readonly load: number;
}

function atHand(
  serving: readonly UpstreamView[],
  { target, tried }: RouteWant,
  nowMs: Ms,
): readonly Loaded[] {
  const free = serving.filter(
    (view) => !tried.includes(view.id) && freeAtMs(view, target.kind.name, nowMs) <= nowMs,
  );
  const trusted = free.filter(({ phase }) => phase !== 'suspect');
  return (trusted.length > 0 ? trusted : free).map((view) => ({
    view,
    load: relativeLoad(view, target.model, nowMs),
  }));
}

/** Stays in the entry's own availability zone while somebody there has room. */
function nearest(state: RoutingState, all: readonly Loaded[]): readonly Loaded[] {
  const near = all.filter(
    ({ view, load }) =>
      view.availabilityZone === state.availabilityZone && load < routingLimits.spillLoad,
  );
  return near.length > 0 ? near : all;
}

/** The upstream that has, or should have, the prompt's prefix in its cache, if it is not too loaded. */
function byPrefix(
  state: RoutingState,
  pool: readonly Loaded[],
  prefixHash: string,
  nowMs: Ms,
): UpstreamView | undefined {
  if (!prefixHash) return undefined;
  const mean = pool.reduce((sum, { load }) => sum + load, 0) / pool.length;
  const bound = Math.max(routingLimits.affinityFloor, mean * routingLimits.affinityBound);
  const known = new Map(pool.map((loaded) => [loaded.view.id, loaded]));
  const order = rendezvous<UpstreamId>(prefixHash, [...known.keys()]);
  const warm = order.filter(
    (id) => warmthOf(state, id, prefixHash, nowMs) >= routingLimits.warmthThreshold,
  );
  for (const id of [...warm, ...order.slice(0, 2)]) {
    const loaded = known.get(id);
    if (loaded && loaded.load <= bound) return loaded.view;
  }
  return undefined;
}

/** The less loaded of two that the seed and the request's id pick. */
function lessOfTwo(
  state: RoutingState,
  pool: readonly Loaded[],
  want: RouteWant,
): UpstreamView | undefined {
  const hash = hash32(`${want.requestId} ${want.tried.length}`, state.seed);
  const first = pool[hash % pool.length];
  if (pool.length < 2) return first?.view;
  const rest = pool.filter((loaded) => loaded !== first);
  const second = rest[hash32(want.requestId, hash) % rest.length];
  if (!first || !second) return first?.view;
  return second.load < first.load ? second.view : first.view;
}

/** Chooses among the upstreams that can answer a request, or tells that none is free. */
export function pickUpstream(
  state: RoutingState,
  serving: readonly UpstreamView[],
  want: RouteWant,
  nowMs: Ms,
): UpstreamView | undefined {
  const pool = nearest(state, atHand(serving, want, nowMs));
  if (pool.length === 0) return undefined;
  return byPrefix(state, pool, want.prefixHash, nowMs) ?? lessOfTwo(state, pool, want);
}
