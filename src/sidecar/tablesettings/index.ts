/** Bounds of the run-once table, apart from the table itself: settings need them, and the table needs settings. */
export { defaultTable } from './defaulttable.js';
export { tableSchema } from './tableschema.js';
export type { TableSettings } from './tablesettings.js';
