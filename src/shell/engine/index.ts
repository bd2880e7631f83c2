/** HTTP drivers of upstreams: model engines and plain services. */
export { HttpEngine } from './httpengine.js';
export { HttpService } from './httpservice.js';
