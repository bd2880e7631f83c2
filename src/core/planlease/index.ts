/** Planner lease: elects, by a lease in the store, the entry that plans a service's region. Its epoch fences plans. */
export { createLease } from './createlease.js';
export type { LeaseEffect } from './leaseeffect.js';
export type { LeaseEvent } from './leaseevent.js';
export { leaseLimits } from './leaselimits.js';
export type { LeaseState } from './leasestate.js';
export { stepLease } from './steplease.js';
