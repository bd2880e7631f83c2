import type {
  Incarnation,
  KindName,
  ModelId,
  RequestId,
  UpstreamId,
} from '../../src/base/index.js';
import type { Target } from '../../src/core/document/index.js';
import {
  createRouting,
  pickUpstream,
  send,
  stepRouting,
  type RouteWant,
  type RoutingState,
  type UpstreamView,
} from '../../src/core/routing/index.js';
import type { WorkloadRequest } from './workloadrequest.js';
import type { ReportedLoad } from './queuepolicy.js';
import type { Candidate, MakeRoute } from './routepolicy.js';

const SLOTS = 16;
const INCARNATION = 1 as Incarnation;
const NO_ADAPTERS: ReadonlySet<never> = new Set();

function targetOf({ kind, model }: WorkloadRequest): Target {
  const id = model ? (model as ModelId) : undefined;
  return { service: '' as Target['service'], kind, model: id };
}

function wantOf(ask: WorkloadRequest): RouteWant {
  return {
    requestId: ask.requestId as RequestId,
    target: targetOf(ask),
    prefixHash: ask.prefix,
    remainingMs: ask.kind.deadlineMs,
    tried: [],
  };
}

function reportedLoad(
  { running, queued, slots, estimatedWaitMs, atMs }: ReportedLoad,
  nowMs: number,
) {
  return { running, queued, slots, estimatedWaitMs, ageMs: nowMs - atMs };
}

/** The routing core of one entry, limited to the residency that the run reveals. */
export const coreRoute: MakeRoute = ({ availabilityZone, seed, entry }) => {
  let state: RoutingState = createRouting(availabilityZone, seed * 1_000 + entry);
  const ids = new Map<number, UpstreamId>();

  /** Adds the upstream and its model to the routing state if they are missing. */
  const ensureKnown = (
    { index, id, availabilityZone: zone }: Candidate,
    ask: WorkloadRequest,
    nowMs: number,
  ) => {
    const upstream = id as UpstreamId;
    ids.set(index, upstream);
    if (!state.upstreams.has(upstream)) {
      const declared = {
        id: upstream,
        sidecarAddress: id,
        availabilityZone: zone,
        type: ask.model ? ('engine' as const) : ('plain' as const),
        slots: ask.model ? SLOTS : 2,
        kinds: [] as KindName[],
      };
      const known = [...state.upstreams.values()];
      state = stepRouting(
        state,
        { type: 'declared', upstreams: [...known, declared], models: [] },
        nowMs,
      ).state;
      const event = { type: 'member' as const, upstream, phase: 'ready' as const };
      state = stepRouting(state, { ...event, incarnation: INCARNATION }, nowMs).state;
    }
    const view = state.upstreams.get(upstream);
    const model = ask.model as ModelId;
    if (!view || !ask.model || view.residents.has(model)) return view;
    const residents = new Map(view.residents).set(model, {
      phase: 'ready' as const,
      adapters: NO_ADAPTERS,
      sinceMs: nowMs,
    });
    const updated: UpstreamView = { ...view, residents };
    state = { ...state, upstreams: new Map(state.upstreams).set(upstream, updated) };
    return updated;
  };

  return {
    choose(ask, candidates, nowMs) {
      const ready = candidates.filter(({ phase }) => phase === 'ready');
      const serving = ready.flatMap((candidate) => ensureKnown(candidate, ask, nowMs) ?? []);
      const want = wantOf(ask);
      const picked =
        pickUpstream(state, serving, want, nowMs) ??
        pickUpstream(
          state,
          // All have refused of late: the least bad is still asked, as the entry's last attempt.
          serving.map((view) => ({ ...view, fullUntilMs: new Map() })),
          want,
          nowMs,
        );
      if (!picked) return undefined;
      state = send(state, want, picked, nowMs).state;
      return ready.find(({ id }) => id === picked.id);
    },
    learn({ index, ask, type, load }, nowMs) {
      const upstream = ids.get(index);
      if (!upstream) return;
      const event = {
        type: 'outcome' as const,
        requestId: ask.requestId as RequestId,
        upstream,
        target: targetOf(ask),
        prefixHash: ask.prefix,
        end: type,
        load: load ? reportedLoad(load, nowMs) : undefined,
      };
      state = stepRouting(state, event, nowMs).state;
      if (state.upstreams.get(upstream)?.breaker.phase === 'open') {
        state = stepRouting(state, { type: 'tick' }, nowMs).state;
      }
    },
  };
};
