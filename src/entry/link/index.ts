/** Connection of an entry to the sidecars: one long-lived gRPC stream per sidecar. */
export type { SentAttempt } from './sentattempt.js';
export type { Link } from './link.js';
export type { LinkOptions } from './linkoptions.js';
export type { FrameReceiver } from './framereceiver.js';
export { SharedLink } from './sharedlink.js';
