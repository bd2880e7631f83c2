/** Which upstream takes a request. */
export { Fleet } from './fleet.js';
export { holds } from './holds.js';
export type { Need } from './need.js';
export type { UpstreamState } from './upstreamstate.js';
