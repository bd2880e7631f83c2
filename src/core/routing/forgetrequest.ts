import type { RequestId } from '../../base/index.js';
import type { RoutingState } from './routingstate.js';
import type { Waiter } from './waiter.js';
import { withView } from './withview.js';

function withoutWaiter(state: RoutingState, requestId: RequestId): RoutingState['waiting'] {
  const waiting = new Map<string, readonly Waiter[]>();
  for (const [key, waiters] of state.waiting) {
    const kept = waiters.filter(({ want }) => want.requestId !== requestId);
    if (kept.length > 0) waiting.set(key, kept);
  }
  return waiting;
}

/** Removes a request from the in-flight count of its upstream and from the waiting requests. */
export function forgetRequest(state: RoutingState, requestId: RequestId): RoutingState {
  const sent = state.inFlight.get(requestId);
  const waiting = state.waiting.size > 0 ? withoutWaiter(state, requestId) : state.waiting;
  if (!sent) return { ...state, waiting };
  const inFlight = new Map(state.inFlight);
  inFlight.delete(requestId);
  return withView({ ...state, waiting, inFlight }, sent.upstream, (view) => ({
    ...view,
    inFlight: Math.max(0, view.inFlight - 1),
  }));
}
