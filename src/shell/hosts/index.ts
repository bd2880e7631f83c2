/** Drivers of the platform's host list. */
export { HttpHostList } from './httphostlist.js';
export { hostListSchema } from './hostlistschema.js';
export type { HostListSettings } from './hostlistsettings.js';
