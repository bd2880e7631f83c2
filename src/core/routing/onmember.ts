import type { RoutingChange } from './routingchange.js';
import type { RoutingEvent } from './routingevent.js';
import type { RoutingState } from './routingstate.js';
import { withView } from './withview.js';

type MemberNews = Extract<RoutingEvent, { type: 'member' }>;

/** Adopts an upstream's phase from membership. What is gone, or new, holds nothing that is known. */
export function onMember(state: RoutingState, event: MemberNews): RoutingChange {
  const changed = withView(state, event.upstream, (view) => {
    const { phase, incarnation } = event;
    const renewed = incarnation > view.incarnation;
    if (!renewed && phase !== 'gone') return { ...view, phase };
    const residents: typeof view.residents = new Map();
    return { ...view, phase, incarnation, residents, load: undefined };
  });
  return { state: changed, effects: [] };
}
