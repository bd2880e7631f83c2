/** How long work takes at an upstream's host compared with the usual time. */
export { averagePaceAt } from './averagepaceat.js';
export { initialPace } from './initialpace.js';
export { onSharedPercent } from './onsharedpercent.js';
export { onWorkPercent } from './onworkpercent.js';
export type { Pace } from './pace.js';
export { paceAt } from './paceat.js';
