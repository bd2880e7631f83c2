/** Upstreams in the platform's list. */
export type { Lifecycle } from './lifecycle.js';
export { takeRecord } from './takerecord.js';
export type { Upstream } from './upstream.js';
