import type { Ms, UpstreamId } from '../../base/index.js';
import { askRescue } from './askrescue.js';
import { expectedReadyMs } from './expectedreadyms.js';
import { refuseWaiters } from './refusewaiters.js';
import { releaseWaiters } from './releasewaiters.js';
import type { Rescue } from './rescue.js';
import type { RoutingChange } from './routingchange.js';
import type { RoutingEffect } from './routingeffect.js';
import { routingLimits } from './routinglimits.js';
import type { RoutingState } from './routingstate.js';
import { stepBreaker } from './stepbreaker.js';
import type { UpstreamView } from './upstreamview.js';

function coolBreakers(state: RoutingState, nowMs: Ms): RoutingState {
  const upstreams = new Map<UpstreamId, UpstreamView>();
  let changed = false;
  for (const [id, view] of state.upstreams) {
    const breaker = stepBreaker(view.breaker, 'passed', nowMs);
    changed ||= breaker !== view.breaker;
    upstreams.set(id, breaker === view.breaker ? view : { ...view, breaker });
  }
  return changed ? { ...state, upstreams } : state;
}

/** Removes requests whose outcome was never reported from the in-flight counts. */
function expireInFlight(state: RoutingState, nowMs: Ms): RoutingState {
  const old = [...state.inFlight].filter(
    ([, { atMs }]) => nowMs - atMs > routingLimits.inFlightExpiryMs,
  );
  if (old.length === 0) return state;
  const inFlight = new Map(state.inFlight);
  const upstreams = new Map(state.upstreams);
  for (const [requestId, { upstream }] of old) {
    inFlight.delete(requestId);
    const view = upstreams.get(upstream);
    if (view) upstreams.set(upstream, { ...view, inFlight: Math.max(0, view.inFlight - 1) });
  }
  return { ...state, inFlight, upstreams };
}

function expireHints(state: RoutingState, nowMs: Ms): RoutingState {
  const hints = new Map(
    [...state.hints].filter(([, { atMs }]) => nowMs - atMs <= routingLimits.inFlightExpiryMs),
  );
  return hints.size === state.hints.size ? state : { ...state, hints };
}

const GIVE_UP_MS: Readonly<Record<Rescue['phase'], Ms>> = {
  asked: 0,
  loading: routingLimits.rescueGraceMs,
  refused: 0,
};

function isLost(state: RoutingState, rescue: Rescue, nowMs: Ms): boolean {
  if (rescue.phase === 'refused') return nowMs >= rescue.untilMs;
  const phase = state.upstreams.get(rescue.upstream)?.phase;
  if (phase !== 'ready' && phase !== 'joining') return true;
  return nowMs > rescue.untilMs + GIVE_UP_MS[rescue.phase];
}

/** Asks the next upstream for each on-demand load that timed out or whose upstream was lost. */
function retryRescues(start: RoutingState, nowMs: Ms): RoutingChange {
  let state = start;
  const effects: RoutingEffect[] = [];
  for (const [key, rescue] of start.rescues) {
    if (!isLost(start, rescue, nowMs)) continue;
    const waiters = state.waiting.get(key) ?? [];
    const deadlineMs = Math.max(0, ...waiters.map(({ deadlineAtMs }) => deadlineAtMs - nowMs));
    const asked = deadlineMs > 0 ? askRescue(state, rescue.target, deadlineMs, nowMs) : undefined;
    if (asked) {
      state = asked.state;
      effects.push(...asked.effects);
      continue;
    }
    const rescues = new Map(state.rescues);
    rescues.delete(key);
    state = { ...state, rescues };
  }
  return { state, effects };
}

function refuseExpired(start: RoutingState, nowMs: Ms): RoutingChange {
  let state = start;
  const effects: RoutingEffect[] = [];
  for (const [key, [first]] of start.waiting) {
    if (!first) continue;
    const readyMs = expectedReadyMs(state, first.want.target, nowMs) ?? nowMs;
    const reason = {
      type: 'model-loading',
      detail: 'The model is still being loaded and will not be ready before the deadline.',
      retryAfterMs: Math.max(routingLimits.retryAfterMs, readyMs - nowMs),
    };
    const latestMs = Math.max(nowMs, readyMs);
    const expired = refuseWaiters(
      state,
      key,
      reason,
      ({ deadlineAtMs }) => deadlineAtMs < latestMs,
    );
    state = expired.state;
    effects.push(...expired.effects);
  }
  return { state, effects };
}

/** Handles the passing of time: half-opens breakers, retries lost loads, sends or refuses waiting requests. */
export function onTick(start: RoutingState, nowMs: Ms): RoutingChange {
  let state = expireHints(expireInFlight(coolBreakers(start, nowMs), nowMs), nowMs);
  const effects: RoutingEffect[] = [];
  for (const work of [retryRescues, releaseWaiters, refuseExpired]) {
    const change = work(state, nowMs);
    state = change.state;
    effects.push(...change.effects);
  }
  return { state, effects };
}
