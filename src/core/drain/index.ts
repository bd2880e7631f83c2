/** Drain of an upstream, caused by a planned stop, the host list, or the engine's report. */
export type { DrainEffect } from './draineffect.js';
export type { DrainEvent } from './drainevent.js';
export type { DrainPhase } from './drainphase.js';
export type { DrainState } from './drainstate.js';
export { servingDrain } from './servingdrain.js';
export { stepDrain } from './stepdrain.js';
