import type { Ms, Step } from '../../base/index.js';
import { forgetRequest } from './forgetrequest.js';
import { onCached } from './oncached.js';
import { onDeclared } from './ondeclared.js';
import { onMember } from './onmember.js';
import { onOutcome } from './onoutcome.js';
import { onRecorded } from './onrecorded.js';
import { onRescued } from './onrescued.js';
import { onTick } from './ontick.js';
import { onWant } from './onwant.js';
import type { RoutingChange } from './routingchange.js';
import type { RoutingEffect } from './routingeffect.js';
import type { RoutingEvent } from './routingevent.js';
import type { RoutingState } from './routingstate.js';

type Handle<Event> = (state: RoutingState, event: Event, nowMs: Ms) => RoutingChange;

const HANDLERS: {
  readonly [Type in RoutingEvent['type']]: Handle<Extract<RoutingEvent, { type: Type }>>;
} = {
  declared: onDeclared,
  recorded: (state, { record }, nowMs) => onRecorded(state, record, nowMs),
  member: onMember,
  want: (state, { want }, nowMs) => onWant(state, want, nowMs),
  outcome: onOutcome,
  abandoned: (state, { requestId }) => ({
    state: forgetRequest(state, requestId),
    effects: [],
  }),
  rescued: onRescued,
  cached: onCached,
  tick: (state, _event, nowMs) => onTick(state, nowMs),
};

/** Chooses upstreams for the requests of one service, and learns from their outcomes. */
export const stepRouting: Step<RoutingState, RoutingEvent, RoutingEffect> = (
  state,
  event,
  nowMs,
) => {
  const handle = HANDLERS[event.type] as Handle<RoutingEvent>;
  return handle(state, event, nowMs);
};
