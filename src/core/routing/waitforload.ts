import type { Ms } from '../../base/index.js';
import { askRescue } from './askrescue.js';
import { expectedReadyMs } from './expectedreadyms.js';
import { loadKey } from './loadkey.js';
import { loadTimeMs } from './loadtimems.js';
import type { RouteWant } from './routewant.js';
import type { RoutingChange } from './routingchange.js';
import type { RoutingEffect } from './routingeffect.js';
import type { RoutingState } from './routingstate.js';
import { refuseRequest } from './refuserequest.js';

function wait(
  state: RoutingState,
  want: RouteWant,
  nowMs: Ms,
  effects: readonly RoutingEffect[] = [],
): RoutingChange {
  const key = loadKey(want.target);
  const waiter = { want, deadlineAtMs: nowMs + want.remainingMs };
  const waiters = [...(state.waiting.get(key) ?? []), waiter];
  return { state: { ...state, waiting: new Map(state.waiting).set(key, waiters) }, effects };
}

function refuseLate(
  state: RoutingState,
  want: RouteWant,
  readyMs: Ms,
  nowMs: Ms,
  effects: readonly RoutingEffect[],
): RoutingChange {
  const refused = refuseRequest(state, want, {
    type: 'model-loading',
    detail: 'The model is being loaded and will not be ready before the deadline.',
    retryAfterMs: readyMs - nowMs,
  });
  return { state, effects: [...effects, ...refused.effects] };
}

/** Waits for a load in progress, or asks for one, if the deadline allows. All waiting requests share one load. */
export function waitForLoad(
  state: RoutingState,
  want: RouteWant,
  nowMs: Ms,
): RoutingChange | undefined {
  const deadlineAtMs = nowMs + want.remainingMs;
  const rescue = state.rescues.get(loadKey(want.target));
  if (rescue?.phase === 'refused' && rescue.untilMs > nowMs) {
    return refuseRequest(state, want, {
      type: 'model-unplaced',
      detail: 'No upstream holds the model, and none has room for it now.',
      retryAfterMs: rescue.untilMs - nowMs,
    });
  }
  const readyMs = expectedReadyMs(state, want.target, nowMs);
  if (readyMs !== undefined) {
    return readyMs > deadlineAtMs
      ? refuseLate(state, want, readyMs, nowMs, [])
      : wait(state, want, nowMs);
  }
  if (rescue?.phase === 'asked') return wait(state, want, nowMs);
  const asked = askRescue(state, want.target, want.remainingMs, nowMs);
  if (!asked) return undefined;
  const etaMs = nowMs + loadTimeMs(state, want.target.model);
  if (etaMs > deadlineAtMs) return refuseLate(asked.state, want, etaMs, nowMs, asked.effects);
  return wait(asked.state, want, nowMs, asked.effects);
}
