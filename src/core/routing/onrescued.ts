import type { Ms } from '../../base/index.js';
import { askRescue } from './askrescue.js';
import { loadKey } from './loadkey.js';
import { loadTimeMs } from './loadtimems.js';
import { refuseWaiters } from './refusewaiters.js';
import type { Rescue } from './rescue.js';
import type { RoutingChange } from './routingchange.js';
import type { RoutingEvent } from './routingevent.js';
import { routingLimits } from './routinglimits.js';
import type { RoutingState } from './routingstate.js';

type Rescued = Extract<RoutingEvent, { type: 'rescued' }>;

function accept(state: RoutingState, rescue: Rescue, readyInMs: Ms, nowMs: Ms): RoutingChange {
  const key = loadKey(rescue.target);
  const estimateMs = readyInMs > 0 ? readyInMs : loadTimeMs(state, rescue.target.model);
  const untilMs = nowMs + estimateMs;
  const rescues = new Map(state.rescues).set(key, { ...rescue, phase: 'loading', untilMs });
  const reason = {
    type: 'model-loading',
    detail: 'The model is being loaded and will not be ready before the deadline.',
    retryAfterMs: estimateMs,
  };
  return refuseWaiters(
    { ...state, rescues },
    key,
    reason,
    (waiter) => waiter.deadlineAtMs < untilMs,
  );
}

function giveUp(state: RoutingState, rescue: Rescue, retryAfterMs: Ms, nowMs: Ms): RoutingChange {
  const key = loadKey(rescue.target);
  const untilMs = nowMs + retryAfterMs;
  const refused = { ...rescue, phase: 'refused' as const, asked: [], sharing: false, untilMs };
  const rescues = new Map(state.rescues).set(key, refused);
  const reason = {
    type: 'model-unplaced',
    detail: 'No upstream holds the model, and none has room for it now.',
    retryAfterMs,
  };
  return refuseWaiters({ ...state, rescues }, key, reason, () => true);
}

/** Handles a sidecar's answer to an on-demand load request; after a refusal, asks the next upstream. */
export function onRescued(state: RoutingState, event: Rescued, nowMs: Ms): RoutingChange {
  const rescue = state.rescues.get(loadKey(event.target));
  if (rescue?.phase !== 'asked' || rescue.upstream !== event.upstream) {
    return { state, effects: [] };
  }
  if (event.reply?.accepted) return accept(state, rescue, event.reply.estimatedReadyMs, nowMs);
  const waiters = state.waiting.get(loadKey(event.target)) ?? [];
  const deadlineMs = Math.max(
    routingLimits.retryAfterMs,
    ...waiters.map(({ deadlineAtMs }) => deadlineAtMs - nowMs),
  );
  const next = askRescue(state, event.target, deadlineMs, nowMs);
  if (next) return next;
  const sidecarRetryMs = event.reply?.refusal?.retryAfterMs ?? 0;
  return giveUp(state, rescue, Math.max(sidecarRetryMs, routingLimits.retryAfterMs), nowMs);
}
