import type { Ms, UpstreamId } from '../../base/index.js';
import { Executed } from '../../wire/index.js';
import { rendezvous } from '../hash/index.js';
import { freeAtMs } from './freeatms.js';
import { loadKey } from './loadkey.js';
import { pickUpstream } from './pickupstream.js';
import type { RouteWant } from './routewant.js';
import type { RoutingChange } from './routingchange.js';
import { routingLimits } from './routinglimits.js';
import type { RoutingState } from './routingstate.js';
import { send } from './send.js';
import { serves } from './serves.js';
import { refuseRequest } from './refuserequest.js';
import type { UpstreamView } from './upstreamview.js';
import { waitForLoad } from './waitforload.js';

type Rule = (state: RoutingState, want: RouteWant, nowMs: Ms) => RoutingChange | undefined;

function servingNow(state: RoutingState, want: RouteWant): UpstreamView[] {
  return [...state.upstreams.values()].filter((view) => serves(view, want.target));
}

/** Sends a request bound by a ticket to its upstream, never to another. */
const toBound: Rule = (state, want, nowMs) => {
  if (!want.bound) return undefined;
  const view = state.upstreams.get(want.bound.upstream);
  if (view && view.phase !== 'gone') return send(state, want, view, nowMs);
  return refuseRequest(state, want, {
    type: 'ticket-upstream-gone',
    detail: 'The upstream that issued the ticket is gone; whether the request ran is not known.',
    executed: Executed.EXECUTED_UNKNOWN,
  });
};

function isRetry({ tried, again }: RouteWant): boolean {
  return tried.length > 0 || again === true;
}

/** Refuses retries beyond a fraction of the answers, so that an outage does not multiply the load. */
const checkRetryBudget: Rule = (state, want) => {
  if (!isRetry(want) || state.retryTokens >= 1) return undefined;
  return refuseRequest(state, want, {
    type: 'retry-budget-spent',
    detail: 'Too many requests fail at present for this one to be tried again.',
    retryAfterMs: routingLimits.retryAfterMs,
  });
};

const toHinted: Rule = (state, want, nowMs) => {
  const hinted = state.hints.get(want.requestId);
  for (const id of hinted?.upstreams ?? []) {
    const view = state.upstreams.get(id);
    if (!view || want.tried.includes(id) || view.phase === 'suspect') continue;
    if (freeAtMs(view, want.target.kind.name, nowMs) > nowMs) continue;
    return send(state, want, view, nowMs);
  }
  return undefined;
};

const toServing: Rule = (state, want, nowMs) => {
  const view = pickUpstream(state, servingNow(state, want), want, nowMs);
  return view ? send(state, want, view, nowMs) : undefined;
};

/**
 * True if waiting for this upstream is better than loading the model elsewhere. It is not for an upstream that has just
 * failed this request, or that keeps failing after its breaker first opened.
 */
function isWorthWaiting({ breaker, ...view }: UpstreamView, want: RouteWant): boolean {
  if (view.phase === 'leaving' || view.phase === 'gone') return false;
  if (want.tried.includes(view.id) && breaker.failures > 0) return false;
  return breaker.phase === 'closed' || breaker.coolMs <= routingLimits.retryAfterMs;
}

/** Refuses a request if all suitable upstreams are full or refused it; reports when the first should have capacity. */
const busy: Rule = (state, want, nowMs) => {
  const candidates = servingNow(state, want).filter((view) => isWorthWaiting(view, want));
  if (candidates.length === 0) return undefined;
  const freeMs = Math.min(
    ...candidates.map((view) => freeAtMs(view, want.target.kind.name, nowMs)),
  );
  return refuseRequest(state, want, {
    type: 'upstreams-busy',
    detail: 'Every upstream that could answer this request is full or has refused it.',
    retryAfterMs: freeMs > nowMs ? freeMs - nowMs : routingLimits.retryAfterMs,
  });
};

/** Tries an upstream whose models are unknown because no record has arrived yet; its sidecar decides. */
const toUnrecorded: Rule = (state, want, nowMs) => {
  const { model, kind } = want.target;
  if (model === undefined) return undefined;
  const views = [...state.upstreams.values()].filter(
    (view) => view.type === 'engine' && !view.recorded && !view.missing.has(loadKey(want.target)),
  );
  const free = views.filter(
    ({ id, ...view }) =>
      !want.tried.includes(id) && freeAtMs({ id, ...view }, kind.name, nowMs) <= nowMs,
  );
  const [first] = rendezvous<UpstreamId>(
    model,
    free.map(({ id }) => id),
  );
  const view = first === undefined ? undefined : state.upstreams.get(first);
  return view ? send(state, want, view, nowMs) : undefined;
};

const toLoad: Rule = (state, want, nowMs) =>
  want.target.model === undefined ? undefined : waitForLoad(state, want, nowMs);

const refuseNoUpstream: Rule = (state, want) =>
  refuseRequest(state, want, {
    type: 'no-upstream',
    detail: 'No upstream is left to try.',
    retryAfterMs: routingLimits.retryAfterMs,
  });

const RULES: readonly Rule[] = [
  toBound,
  checkRetryBudget,
  toHinted,
  toServing,
  busy,
  toUnrecorded,
  toLoad,
  refuseNoUpstream,
];

function spendRetry(state: RoutingState, want: RouteWant): RoutingState {
  if (!isRetry(want) || state.retryTokens < 1) return state;
  return { ...state, retryTokens: state.retryTokens - 1 };
}

/** Applies the first rule that decides a request: an upstream, a load to wait for, or a refusal. */
export function onWant(state: RoutingState, want: RouteWant, nowMs: Ms): RoutingChange {
  for (const attempt of RULES) {
    const change = attempt(state, want, nowMs);
    if (change) return { ...change, state: spendRetry(change.state, want) };
  }
  return { state, effects: [] };
}
