import type { Incarnation, UpstreamId } from '../../base/index.js';
import { closedBreaker } from './closedbreaker.js';
import type { RoutingChange } from './routingchange.js';
import type { RoutingEvent } from './routingevent.js';
import type { RoutingState } from './routingstate.js';
import type { UpstreamView } from './upstreamview.js';

type Declared = Extract<RoutingEvent, { type: 'declared' }>;

const UNKNOWN_INCARNATION = 0 as Incarnation;

function initialView(declared: Declared['upstreams'][number]): UpstreamView {
  return {
    ...declared,
    phase: 'joining',
    incarnation: UNKNOWN_INCARNATION,
    recorded: false,
    freeBytes: 0,
    residents: new Map(),
    missing: new Set(),
    inFlight: 0,
    breaker: closedBreaker,
    fullUntilMs: new Map(),
  };
}

/** Applies the upstreams and models of a service document; keeps the state of upstreams that remain. */
export function onDeclared(state: RoutingState, event: Declared): RoutingChange {
  const upstreams = new Map<UpstreamId, UpstreamView>();
  for (const declared of event.upstreams) {
    const known = state.upstreams.get(declared.id);
    upstreams.set(declared.id, known ? { ...known, ...declared } : initialView(declared));
  }
  const modelBytes = new Map(event.models.map(({ id, sizeBytes }) => [id, sizeBytes]));
  return { state: { ...state, upstreams, modelBytes }, effects: [] };
}
