/**
 * The order lease: at most one host at a time may send orders to upstreams. It is a record in the store and
 * relies only on compare-and-swap and on each process's own monotonic clock.
 */
export { mayOrder } from './mayorder.js';
export { nextLeaseWrite } from './nextleasewrite.js';
export { onWriteResult } from './onwriteresult.js';
export { onRecord } from './onrecord.js';
export { onUnreadable } from './onunreadable.js';
export { earliestOrderAtMs } from './earliestorderatms.js';
export { releasedLease } from './releasedlease.js';
export { orderLeaseLimits } from './orderleaselimits.js';
export { takeoverDelay } from './takeoverdelay.js';
export type { OrderLeaseRecord } from './orderleaserecord.js';
export type { OrderLeaseState } from './orderleasestate.js';
