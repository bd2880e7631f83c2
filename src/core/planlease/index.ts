/** Which entry plans a service's region: a lease in the store, and its epoch. */
export { createLease } from './createlease.js';
export type { LeaseEffect } from './leaseeffect.js';
export type { LeaseEvent } from './leaseevent.js';
export { leaseLimits } from './leaselimits.js';
export type { LeaseState } from './leasestate.js';
export { stepLease } from './steplease.js';
