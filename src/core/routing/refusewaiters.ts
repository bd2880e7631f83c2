import type { Ms } from '../../base/index.js';
import type { RoutingChange } from './routingchange.js';
import type { RoutingEffect } from './routingeffect.js';
import type { RoutingState } from './routingstate.js';
import { refuseRequest } from './refuserequest.js';
import type { Waiter } from './waiter.js';

/** Refuses the requests waiting for one load that match; the others keep waiting. */
export function refuseWaiters(
  state: RoutingState,
  key: string,
  reason: { readonly type: string; readonly detail: string; readonly retryAfterMs: Ms },
  matches: (waiter: Waiter) => boolean,
): RoutingChange {
  const effects: RoutingEffect[] = [];
  const kept: Waiter[] = [];
  for (const waiter of state.waiting.get(key) ?? []) {
    if (matches(waiter)) effects.push(...refuseRequest(state, waiter.want, reason).effects);
    else kept.push(waiter);
  }
  const waiting = new Map(state.waiting);
  if (kept.length > 0) waiting.set(key, kept);
  else waiting.delete(key);
  return { state: { ...state, waiting }, effects };
}
