/** Public API of the library: both daemons, their settings, the ports, and the service document. */
export { entrySchema, startEntry, type EntrySettings } from './entry/index.js';
export { sidecarSchema, startSidecar, type SidecarSettings } from './sidecar/index.js';
export { loadSettings } from './shell/settings/index.js';
export type * from './port/index.js';
export type * from './core/document/index.js';
