/** Limits of the run-once table. They are a module of their own to avoid an import cycle of table and settings. */
export { defaultTable } from './defaulttable.js';
export { tableSchema } from './tableschema.js';
export type { TableSettings } from './tablesettings.js';
