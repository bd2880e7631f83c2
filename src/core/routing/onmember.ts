import { withIncarnation } from './withincarnation.js';
import type { RoutingChange } from './routingchange.js';
import type { RoutingEvent } from './routingevent.js';
import type { RoutingState } from './routingstate.js';
import { withView } from './withview.js';

type MemberChanged = Extract<RoutingEvent, { type: 'member' }>;

/** Applies a membership change. An upstream that is gone or has a new incarnation has no known models or load. */
export function onMember(state: RoutingState, event: MemberChanged): RoutingChange {
  const changed = withView(state, event.upstream, (view) => {
    const { phase, incarnation } = event;
    if (incarnation > view.incarnation) return { ...withIncarnation(view, incarnation), phase };
    if (phase !== 'gone') return { ...view, phase };
    return { ...view, phase, residents: new Map(), load: undefined };
  });
  return { state: changed, effects: [] };
}
