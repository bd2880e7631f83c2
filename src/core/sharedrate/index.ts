/** A rate that all entries keep together: one process hands out the moments at which requests may be sent. */
export { rateRules } from './raterules.js';
export { settledAtMs } from './settledatms.js';
export { slotGapMs } from './slotgap.js';
