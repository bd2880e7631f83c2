/** Drivers of upstreams: engines and plain services, over HTTP. */
export { HttpEngine } from './httpengine.js';
export { HttpService } from './httpservice.js';
export { splitEvents } from './splitevents.js';
