import type { KindName, Ms, UpstreamId } from '../../base/index.js';
import type { Refusal } from '../../wire/index.js';
import { adoptLoad } from './adoptload.js';
import { loadKey } from './loadkey.js';
import { rememberPrefix } from './rememberprefix.js';
import type { RoutingChange } from './routingchange.js';
import type { RoutingEvent } from './routingevent.js';
import { routingLimits } from './routinglimits.js';
import type { RoutingState } from './routingstate.js';
import { stepBreaker } from './stepbreaker.js';
import type { UpstreamView } from './upstreamview.js';
import { withView } from './withview.js';

type Ended = Extract<RoutingEvent, { type: 'outcome' }>;

/** Refusals that mean that the upstream does not hold the model or adapter. */
const ABSENT: readonly string[] = ['model-absent', 'model-unloading'];

/** Refusals that mean that the upstream takes no requests of this kind for a while. */
const FULL: readonly string[] = ['upstream-full', 'queue-full', 'deadline-unmeetable'];

function withoutRequest(view: UpstreamView, wasCounted: boolean): UpstreamView {
  return wasCounted ? { ...view, inFlight: Math.max(0, view.inFlight - 1) } : view;
}

function refusedBy(view: UpstreamView, event: Ended, refusal: Refusal, nowMs: Ms): UpstreamView {
  const { model, kind } = event.target;
  if (ABSENT.includes(refusal.type) && model !== undefined) {
    return { ...view, missing: new Set(view.missing).add(loadKey(event.target)) };
  }
  if (!FULL.includes(refusal.type) || refusal.retryAfterMs <= 0) return view;
  const fullUntilMs = new Map<KindName, Ms>(view.fullUntilMs);
  return { ...view, fullUntilMs: fullUntilMs.set(kind.name, nowMs + refusal.retryAfterMs) };
}

const ENDS: Readonly<Record<Ended['end'], 'succeeded' | 'failed' | undefined>> = {
  answered: 'succeeded',
  refused: 'succeeded',
  broken: 'failed',
  unreachable: 'failed',
  cancelled: undefined,
};

function updateView(
  view: UpstreamView,
  event: Ended,
  wasCounted: boolean,
  nowMs: Ms,
): UpstreamView {
  const end = ENDS[event.end];
  const breaker = end ? stepBreaker(view.breaker, end, nowMs) : view.breaker;
  const left = withoutRequest({ ...view, breaker }, wasCounted);
  const loaded = adoptLoad(left, event.load ?? event.refusal?.load, nowMs);
  if (event.end !== 'refused' || !event.refusal) return loaded;
  return refusedBy(loaded, event, event.refusal, nowMs);
}

function earnRetry(state: RoutingState): RoutingState {
  const retryTokens = Math.min(
    routingLimits.retryTokens,
    state.retryTokens + routingLimits.retryShare,
  );
  return { ...state, retryTokens };
}

function updateHints(state: RoutingState, event: Ended, nowMs: Ms): RoutingState {
  const upstreams = (event.refusal?.candidates ?? []) as UpstreamId[];
  const hints = new Map(state.hints);
  if (upstreams.length > 0) hints.set(event.requestId, { upstreams, atMs: nowMs });
  else if (!hints.delete(event.requestId)) return state;
  return { ...state, hints };
}

/** Updates load, health and prefix scores from the outcome of one attempt. */
export function onOutcome(state: RoutingState, event: Ended, nowMs: Ms): RoutingChange {
  const sent = state.inFlight.get(event.requestId);
  const wasCounted = sent?.upstream === event.upstream;
  const inFlight = new Map(state.inFlight);
  if (wasCounted) inFlight.delete(event.requestId);
  const seen = withView({ ...state, inFlight }, event.upstream, (view) =>
    updateView(view, event, wasCounted, nowMs),
  );
  const hinted = updateHints(seen, event, nowMs);
  if (event.end !== 'answered') return { state: hinted, effects: [] };
  const earned = earnRetry(hinted);
  return { state: rememberPrefix(earned, event.upstream, event.prefixHash, nowMs), effects: [] };
}
