/** Concurrency limit of an engine, adapted to the gaps between the events of its streams. */
export { initialLimit } from './initiallimit.js';
export type { LimitState } from './limitstate.js';
export { onGap } from './ongap.js';
export { engineLimitRules } from './enginelimitrules.js';
export { maxFill } from './maxfill.js';
