/** Drivers of the platform's list of hosts. */
export { HttpHostList } from './httphostlist.js';
export { hostListSchema } from './hostlistschema.js';
export type { HostListSettings } from './hostlistsettings.js';
