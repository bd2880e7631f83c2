import type { Ms } from '../../base/index.js';
import type { RoutingChange } from './routingchange.js';
import type { RoutingEffect } from './routingeffect.js';
import type { RoutingState } from './routingstate.js';
import { turnAway } from './turnaway.js';
import type { Waiter } from './waiter.js';

/** Refuses those waiters of one load who match, at once, and keeps the others. */
export function refuseWaiters(
  state: RoutingState,
  key: string,
  reason: { readonly type: string; readonly detail: string; readonly retryAfterMs: Ms },
  matches: (waiter: Waiter) => boolean,
): RoutingChange {
  const effects: RoutingEffect[] = [];
  const kept: Waiter[] = [];
  for (const waiter of state.waiting.get(key) ?? []) {
    if (matches(waiter)) effects.push(...turnAway(state, waiter.want, reason).effects);
    else kept.push(waiter);
  }
  const waiting = new Map(state.waiting);
  if (kept.length > 0) waiting.set(key, kept);
  else waiting.delete(key);
  return { state: { ...state, waiting }, effects };
}
