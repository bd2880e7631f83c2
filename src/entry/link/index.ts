/** The hop from an entry to the sidecars: one long-lived gRPC stream a sidecar. */
export type { Asked } from './asked.js';
export type { Link } from './link.js';
export type { LinkOptions } from './linkoptions.js';
export type { Receiver } from './receiver.js';
export { SharedLink } from './sharedlink.js';
