import type { UpstreamId } from '../../base/index.js';
import type { RoutingState } from './routingstate.js';
import type { UpstreamView } from './upstreamview.js';

/** Updates the view of one upstream; ignores an upstream that is not declared. */
export function withView(
  state: RoutingState,
  id: UpstreamId,
  change: (view: UpstreamView) => UpstreamView,
): RoutingState {
  const view = state.upstreams.get(id);
  if (!view) return state;
  return { ...state, upstreams: new Map(state.upstreams).set(id, change(view)) };
}
