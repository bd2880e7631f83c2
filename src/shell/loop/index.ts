/** The order in which the event loop reads what has arrived. */
export { afterReads } from './afterreads.js';
