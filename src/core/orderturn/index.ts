/**
 * The right to give orders to upstreams: one host at a time, by a record in the store. It rests on
 * nothing but compare-and-swap and each process's own steady clock.
 */
export { mayOrder } from './mayorder.js';
export { nextTurn } from './nextturn.js';
export { onRecord } from './onrecord.js';
export { onWritten } from './onwritten.js';
export { ordersFrom } from './ordersfrom.js';
export { turnLimits } from './turnlimits.js';
export type { TurnRecord } from './turnrecord.js';
export type { TurnState } from './turnstate.js';
