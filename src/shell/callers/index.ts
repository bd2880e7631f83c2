/** Callers' connections and requests at an HTTP listener, bounded in what they hold. */
export { ConnectionGuard } from './connectionguard.js';
export { createProbeServer } from './createprobeserver.js';
export { readBody } from './readbody.js';
export type { CallerHold } from './callerhold.js';
