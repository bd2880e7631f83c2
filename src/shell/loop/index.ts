/** Ordering of timers and socket reads in the event loop. */
export { afterReads } from './afterreads.js';
