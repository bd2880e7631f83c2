import type { Ms } from '../../base/index.js';
import { pickUpstream } from './pickupstream.js';
import type { RoutingChange } from './routingchange.js';
import type { RoutingEffect } from './routingeffect.js';
import type { RoutingState } from './routingstate.js';
import { send } from './send.js';
import { serves } from './serves.js';
import type { Waiter } from './waiter.js';

function trySend(state: RoutingState, waiter: Waiter, nowMs: Ms): RoutingChange | undefined {
  const { want } = waiter;
  const serving = [...state.upstreams.values()].filter((view) => serves(view, want.target));
  const view = pickUpstream(state, serving, want, nowMs);
  return view ? send(state, want, view, nowMs) : undefined;
}

/** Sends every waiting request whose model has become ready. */
export function releaseWaiters(start: RoutingState, nowMs: Ms): RoutingChange {
  let state = start;
  const effects: RoutingEffect[] = [];
  for (const [key, waiters] of start.waiting) {
    const kept: Waiter[] = [];
    for (const waiter of waiters) {
      const sent = trySend(state, waiter, nowMs);
      if (!sent) kept.push(waiter);
      else {
        state = sent.state;
        effects.push(...sent.effects);
      }
    }
    if (kept.length === waiters.length) continue;
    const waiting = new Map(state.waiting);
    if (kept.length > 0) waiting.set(key, kept);
    else waiting.delete(key);
    state = { ...state, waiting };
  }
  return { state, effects };
}
