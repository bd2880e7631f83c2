/** The shell of the run-once table: calls of entries, the clock, and hand-over on a planned stop. */
export { peersOf } from './peersof.js';
export { Table } from './table.js';
