/** Shell of the run-once table: calls from entries, expiry by the clock, and hand-over on a planned stop. */
export { peersOf } from './peersof.js';
export { RunOnceTable } from './runoncetable.js';
