/** tarragonstile as a library: the daemons, the ports that they stand on, and the decision cores. */
export { entrySchema, startEntry, type EntrySettings } from './entry/index.js';
export { sidecarSchema, startSidecar, type SidecarSettings } from './sidecar/index.js';
export { loadSettings } from './shell/settings/index.js';
export type * from './port/index.js';
export type * from './core/document/index.js';
