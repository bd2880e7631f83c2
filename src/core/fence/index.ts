/** A sidecar's ownership of its upstream's key in the store, which holds its incarnation and order intents. */
export { emptyFence } from './emptyfence.js';
export type { FenceEffect } from './fenceeffect.js';
export type { FenceEvent } from './fenceevent.js';
export type { FencePhase } from './fencephase.js';
export type { FenceRules } from './fencerules.js';
export { defaultFenceRules } from './defaultfencerules.js';
export type { FenceState } from './fencestate.js';
export type { Intent } from './intent.js';
export { stepFence } from './stepfence.js';
