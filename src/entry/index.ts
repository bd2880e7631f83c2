/** The entry daemon: where callers come in. */
export { entrySchema } from './entryschema.js';
export type { EntrySettings } from './entrysettings.js';
export { startEntry } from './startentry.js';
