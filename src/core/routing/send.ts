import type { Ms } from '../../base/index.js';
import { forgetRequest } from './forgetrequest.js';
import type { RouteWant } from './routewant.js';
import type { RoutingChange } from './routingchange.js';
import type { RoutingState } from './routingstate.js';
import type { UpstreamView } from './upstreamview.js';
import { withView } from './withview.js';

/** Sends a request to an upstream and counts it there. */
export function send(
  state: RoutingState,
  want: RouteWant,
  view: UpstreamView,
  nowMs: Ms,
): RoutingChange {
  const { requestId } = want;
  const counted = withView(forgetRequest(state, requestId), view.id, (known) => ({
    ...known,
    inFlight: known.inFlight + 1,
    breaker:
      known.breaker.phase === 'half-open' ? { ...known.breaker, triedAtMs: nowMs } : known.breaker,
  }));
  const inFlight = new Map(counted.inFlight).set(requestId, { upstream: view.id, atMs: nowMs });
  const incarnation = want.bound?.incarnation ?? view.incarnation;
  const { id: upstream, sidecarAddress } = view;
  return {
    state: { ...counted, inFlight },
    effects: [{ type: 'choose', requestId, upstream, sidecarAddress, incarnation }],
  };
}
