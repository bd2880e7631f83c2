import { renewed } from './renewed.js';
import type { RoutingChange } from './routingchange.js';
import type { RoutingEvent } from './routingevent.js';
import type { RoutingState } from './routingstate.js';
import { withView } from './withview.js';

type MemberNews = Extract<RoutingEvent, { type: 'member' }>;

/** Adopts an upstream's phase from membership. What is gone, or new, holds nothing that is known. */
export function onMember(state: RoutingState, event: MemberNews): RoutingChange {
  const changed = withView(state, event.upstream, (view) => {
    const { phase, incarnation } = event;
    if (incarnation > view.incarnation) return { ...renewed(view, incarnation), phase };
    if (phase !== 'gone') return { ...view, phase };
    return { ...view, phase, residents: new Map(), load: undefined };
  });
  return { state: changed, effects: [] };
}
