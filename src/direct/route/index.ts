/** Which upstream takes a request. */
export type { Block } from './block.js';
export { Fleet } from './fleet.js';
export type { Gate } from './gate.js';
export { holds } from './holds.js';
export type { Need } from './need.js';
export type { SlotAsk } from './slotask.js';
export type { UpstreamState } from './upstreamstate.js';
