/**
 * The right to give orders to upstreams: one host at a time, by a record in the store. It rests on
 * nothing but compare-and-swap and each process's own steady clock.
 */
export { mayOrder } from './mayorder.js';
export { nextTurn } from './nextturn.js';
export { onAnswer } from './onanswer.js';
export { onRecord } from './onrecord.js';
export { ordersFrom } from './ordersfrom.js';
export { releasedTurn } from './releasedturn.js';
export { turnLimits } from './turnlimits.js';
export { takeoverDelay } from './takeoverdelay.js';
export type { TurnRecord } from './turnrecord.js';
export type { TurnState } from './turnstate.js';
