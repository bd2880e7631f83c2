/** Rate limit shared by all entries: one process assigns the time slots at which requests may be sent. */
export { rateRules } from './raterules.js';
export { firstSlotAtMs } from './firstslotatms.js';
export { slotIntervalMs } from './slotintervalms.js';
