/** Upstreams as the platform lists them. */
export type { Upstream } from './upstream.js';
