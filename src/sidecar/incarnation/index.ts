/** The sidecar's hold on its upstream's key: who may order, and what was ordered. */
export { UpstreamKey } from './upstreamkey.js';
