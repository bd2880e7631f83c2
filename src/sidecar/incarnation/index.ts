/** The upstream's key in the store: it names the sidecar that may send orders, and the intents of its orders. */
export { UpstreamKey } from './upstreamkey.js';
