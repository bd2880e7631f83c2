/** Hand-over of KV caches on a planned stop: selects sessions, their order and their target upstreams. */
export type { HandOverEffect } from './handovereffect.js';
export type { HandOverEvent } from './handoverevent.js';
export type { HandOverState } from './handoverstate.js';
export type { Holder } from './holder.js';
export { idleHandOver } from './idlehandover.js';
export type { HandOverLimits } from './handoverlimits.js';
export type { Session } from './session.js';
export { stepHandOver } from './stephandover.js';
