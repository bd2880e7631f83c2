/** The prepared platform in miniature, for tests: its store and its servers. */
export { PlatformServer, type ServerManner } from './platformserver.js';
export { PlatformStore } from './platformstore.js';
export { configurationOf } from './configurationof.js';
