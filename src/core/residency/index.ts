/** Residency core: decides which models are in one upstream's memory, with ledger, orders, reconciler and fencing. */
export { emptyResidency } from './emptyresidency.js';
export type { ResidencyEffect } from './residencyeffect.js';
export type { ResidencyEvent } from './residencyevent.js';
export type { ResidencyFailure } from './residencyfailure.js';
export type { ResidencyRules } from './residencyrules.js';
export { defaultResidencyRules } from './defaultresidencyrules.js';
export type { ResidencyState } from './residencystate.js';
export { readyInMs } from './readyinms.js';
export { stepResidency } from './stepresidency.js';
export { unplacedOf } from './unplacedof.js';
