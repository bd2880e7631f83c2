/** Routing core: chooses the upstream of each request, and the sidecar that loads a model no upstream holds. */
export { createRouting } from './createrouting.js';
export { heldElsewhere } from './heldelsewhere.js';
export { pickUpstream } from './pickupstream.js';
export { relativeLoad } from './relativeload.js';
export type { RouteWant } from './routewant.js';
export type { RoutingEffect } from './routingeffect.js';
export type { RoutingEvent } from './routingevent.js';
export { routingLimits } from './routinglimits.js';
export type { RoutingState } from './routingstate.js';
export { send } from './send.js';
export { stepRouting } from './steprouting.js';
export type { UpstreamView } from './upstreamview.js';
