/** Refusals: typed results of requests without an answer. */
export { refuse } from './refuse.js';
