/** TLS for callers, and mutual TLS between the system's processes. */
export { callerServer } from './callerserver.js';
export type { PeerCredentials } from './credentials.js';
export { keySchema } from './keyschema.js';
export type { KeySettings } from './keysettings.js';
export { peerCredentials } from './peercredentials.js';
export { peerSchema } from './peerschema.js';
export type { PeerSettings } from './peersettings.js';
