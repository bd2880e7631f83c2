/** Choice of the upstream that a request is sent to. */
export type { Block } from './block.js';
export { Fleet } from './fleet.js';
export type { Gate } from './gate.js';
export { has } from './has.js';
export { mayServe } from './mayserve.js';
export type { Target } from './target.js';
export type { SlotWaiter } from './slotwaiter.js';
export type { UpstreamState } from './upstreamstate.js';
