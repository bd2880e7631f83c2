/** Clock for hosts that may be suspended. */
export { createHostClock } from './createhostclock.js';
export { HostClock } from './hostclock.js';
export type { TimeSource } from './timesource.js';
