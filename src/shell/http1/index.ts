/** HTTP/1.1 calls over connections whose state this process knows: what was sent, what broke. */
export { callOnce } from './callonce.js';
export { Channel } from './channel.js';
export type { Http1Call } from './http1call.js';
export type { Http1Receiver } from './http1receiver.js';
export type { Http1Sent } from './http1sent.js';
