/** Runs an admitted request, from its first attempt to the end of its answer. */
export { Run } from './run.js';
