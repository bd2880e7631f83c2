/** How many requests an engine bears, by the gaps between the events that come from it. */
export { freshLimit } from './freshlimit.js';
export type { LimitState } from './limitstate.js';
export { onGap } from './ongap.js';
export { limitRules } from './limitrules.js';
export { mostFill } from './mostfill.js';
