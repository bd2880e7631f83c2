/** How long work takes at an upstream's host compared with the usual time. */
export { initialPace } from './initialpace.js';
export { onWorkPercent } from './onworkpercent.js';
export type { Pace } from './pace.js';
export { paceAt } from './paceat.js';
