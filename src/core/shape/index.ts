/** Checks of the form of values that come from outside the process. */
export type { Check } from './check.js';
export { shape } from './shape.js';
