/** A caller's request from its arrival to its end. */
export { Run } from './run.js';
