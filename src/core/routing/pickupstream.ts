import type { Ms, UpstreamId } from '../../base/index.js';
import { hash32, rendezvous } from '../hash/index.js';
import { freeAtMs } from './freeatms.js';
import { relativeLoad } from './relativeload.js';
import { routingLimits } from './routinglimits.js';
import type { RouteWant } from './routewant.js';
import type { RoutingState } from './routingstate.js';
import type { UpstreamView } from './upstreamview.js';
import { prefixScore } from './prefixscore.js';

interface Candidate {
  readonly view: UpstreamView;
  readonly load: number;
}

function available(
  serving: readonly UpstreamView[],
  { target, tried }: RouteWant,
  nowMs: Ms,
): readonly Candidate[] {
  const free = serving.filter(
    (view) => !tried.includes(view.id) && freeAtMs(view, target.kind.name, nowMs) <= nowMs,
  );
  const trusted = free.filter(({ phase }) => phase !== 'suspect');
  return (trusted.length > 0 ? trusted : free).map((view) => ({
    view,
    load: relativeLoad(view, target.model, nowMs),
  }));
}

/** Keeps to the entry's own availability zone while an upstream there has capacity. */
function preferLocalZone(state: RoutingState, all: readonly Candidate[]): readonly Candidate[] {
  const local = all.filter(
    ({ view, load }) =>
      view.availabilityZone === state.availabilityZone && load < routingLimits.spillLoad,
  );
  return local.length > 0 ? local : all;
}

/** Returns the upstream that has, or should have, the prompt's prefix in its cache, unless its load is too high. */
function byPrefix(
  state: RoutingState,
  pool: readonly Candidate[],
  prefixHash: string,
  nowMs: Ms,
): UpstreamView | undefined {
  if (!prefixHash) return undefined;
  const mean = pool.reduce((sum, { load }) => sum + load, 0) / pool.length;
  const bound = Math.max(routingLimits.affinityFloor, mean * routingLimits.affinityBound);
  const known = new Map(pool.map((candidate) => [candidate.view.id, candidate]));
  const order = rendezvous<UpstreamId>(prefixHash, [...known.keys()]);
  const warm = order.filter(
    (id) => prefixScore(state, id, prefixHash, nowMs) >= routingLimits.prefixThreshold,
  );
  for (const id of [...warm, ...order.slice(0, 2)]) {
    const candidate = known.get(id);
    if (candidate && candidate.load <= bound) return candidate.view;
  }
  return undefined;
}

/** Returns the less loaded of two upstreams chosen by the seed and the request id (power of two choices). */
function lessLoadedOfTwo(
  state: RoutingState,
  pool: readonly Candidate[],
  want: RouteWant,
): UpstreamView | undefined {
  const hash = hash32(`${want.requestId} ${want.tried.length}`, state.seed);
  const first = pool[hash % pool.length];
  if (pool.length < 2) return first?.view;
  const rest = pool.filter((candidate) => candidate !== first);
  const second = rest[hash32(want.requestId, hash) % rest.length];
  if (!first || !second) return first?.view;
  return second.load < first.load ? second.view : first.view;
}

/** Chooses among the upstreams that can answer a request; undefined if none is free. */
export function pickUpstream(
  state: RoutingState,
  serving: readonly UpstreamView[],
  want: RouteWant,
  nowMs: Ms,
): UpstreamView | undefined {
  const pool = preferLocalZone(state, available(serving, want, nowMs));
  if (pool.length === 0) return undefined;
  return byPrefix(state, pool, want.prefixHash, nowMs) ?? lessLoadedOfTwo(state, pool, want);
}
