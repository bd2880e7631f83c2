/** Upstreams in the platform's list. */
export type { Upstream } from './upstream.js';
