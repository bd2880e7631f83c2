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
import { turnAway } from './turnaway.js';
import type { UpstreamView } from './upstreamview.js';
import { waitForLoad } from './waitforload.js';

type Attempt = (state: RoutingState, want: RouteWant, nowMs: Ms) => RoutingChange | undefined;

function servingNow(state: RoutingState, want: RouteWant): UpstreamView[] {
  return [...state.upstreams.values()].filter((view) => serves(view, want.target));
}

/** A ticket's request goes to its upstream and nowhere else. */
const toBound: Attempt = (state, want, nowMs) => {
  if (!want.bound) return undefined;
  const view = state.upstreams.get(want.bound.upstream);
  if (view && view.phase !== 'gone') return send(state, want, view, nowMs);
  return turnAway(state, want, {
    type: 'ticket-upstream-gone',
    detail: 'The upstream that issued the ticket is gone; whether the request ran is not known.',
    executed: Executed.EXECUTED_UNKNOWN,
  });
};

function isRetry({ tried, again }: RouteWant): boolean {
  return tried.length > 0 || again === true;
}

/** Retries are kept to a share of the answers, so that an outage does not multiply the load. */
const withinBudget: Attempt = (state, want) => {
  if (!isRetry(want) || state.retryTokens >= 1) return undefined;
  return turnAway(state, want, {
    type: 'retry-budget-spent',
    detail: 'Too many requests fail at present for this one to be tried again.',
    retryAfterMs: routingLimits.retryAfterMs,
  });
};

const toHinted: Attempt = (state, want, nowMs) => {
  const hinted = state.hints.get(want.requestId);
  for (const id of hinted?.upstreams ?? []) {
    const view = state.upstreams.get(id);
    if (!view || want.tried.includes(id) || view.phase === 'suspect') continue;
    if (freeAtMs(view, want.target.kind.name, nowMs) > nowMs) continue;
    return send(state, want, view, nowMs);
  }
  return undefined;
};

const toServing: Attempt = (state, want, nowMs) => {
  const view = pickUpstream(state, servingNow(state, want), want, nowMs);
  return view ? send(state, want, view, nowMs) : undefined;
};

/**
 * Whether waiting for this upstream is better than loading the model elsewhere. One that has just
 * failed this request, or keeps failing after its breaker's first pause, is not.
 */
function isWorthWaiting({ breaker, ...view }: UpstreamView, want: RouteWant): boolean {
  if (view.phase === 'leaving' || view.phase === 'gone') return false;
  if (want.tried.includes(view.id) && breaker.failures > 0) return false;
  return breaker.phase === 'closed' || breaker.coolMs <= routingLimits.retryAfterMs;
}

/** All who could answer are full or have refused: says when the first should have room again. */
const busy: Attempt = (state, want, nowMs) => {
  const worth = servingNow(state, want).filter((view) => isWorthWaiting(view, want));
  if (worth.length === 0) return undefined;
  const freeMs = Math.min(...worth.map((view) => freeAtMs(view, want.target.kind.name, nowMs)));
  return turnAway(state, want, {
    type: 'upstreams-busy',
    detail: 'Every upstream that could answer this request is full or has refused it.',
    retryAfterMs: freeMs > nowMs ? freeMs - nowMs : routingLimits.retryAfterMs,
  });
};

/** Before its first record nothing is known of an upstream's memory: its sidecar will tell. */
const toUnrecorded: Attempt = (state, want, nowMs) => {
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

const toLoad: Attempt = (state, want, nowMs) =>
  want.target.model === undefined ? undefined : waitForLoad(state, want, nowMs);

const nobody: Attempt = (state, want) =>
  turnAway(state, want, {
    type: 'no-upstream',
    detail: 'No upstream is left to try.',
    retryAfterMs: routingLimits.retryAfterMs,
  });

const ATTEMPTS: readonly Attempt[] = [
  toBound,
  withinBudget,
  toHinted,
  toServing,
  busy,
  toUnrecorded,
  toLoad,
  nobody,
];

function spendRetry(state: RoutingState, want: RouteWant): RoutingState {
  if (!isRetry(want) || state.retryTokens < 1) return state;
  return { ...state, retryTokens: state.retryTokens - 1 };
}

/** Finds the first way to serve a request: an upstream, a load to wait for, or a refusal. */
export function onWant(state: RoutingState, want: RouteWant, nowMs: Ms): RoutingChange {
  for (const attempt of ATTEMPTS) {
    const change = attempt(state, want, nowMs);
    if (change) return { ...change, state: spendRetry(change.state, want) };
  }
  return { state, effects: [] };
}
