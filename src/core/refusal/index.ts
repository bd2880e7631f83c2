/** Refusals: the typed ends of requests that gave no answer. */
export { refuse } from './refuse.js';
