/** At-most-once execution in an entry: the mapping of `Idempotency-Key`s to tickets, and final refusals. */
export { finalRefusal } from './finalrefusal.js';
export type { MappingEffect } from './mappingeffect.js';
export type { MappingEvent } from './mappingevent.js';
export type { MappingState } from './mappingstate.js';
export { routeTicket } from './routeticket.js';
export type { RouteView } from './routeview.js';
export { sharedLease } from './sharedlease.js';
export { startMapping } from './startmapping.js';
export { stepMapping } from './stepmapping.js';
