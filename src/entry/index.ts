/** The entry daemon, which accepts callers' requests and forwards them to sidecars. */
export { entrySchema } from './entryschema.js';
export type { EntrySettings } from './entrysettings.js';
export { startEntry } from './startentry.js';
