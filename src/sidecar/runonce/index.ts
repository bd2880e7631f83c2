/** The shell of the run-once table: calls of entries, the clock, and hand-over on a planned stop. */
export { defaultTable } from './defaulttable.js';
export { peersOf } from './peersof.js';
export { Table } from './table.js';
export { tableSchema } from './tableschema.js';
export type { TableSettings } from './tablesettings.js';
