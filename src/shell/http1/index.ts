/** HTTP/1.1 client that knows for each request whether it was sent, and for each answer whether it is complete. */
export { AnswerSocket } from './answersocket.js';
export { callOnce } from './callonce.js';
export { Channel } from './channel.js';
export { framingOf } from './framingof.js';
export { invalidFieldName } from './invalidfieldname.js';
export type { Http1Call } from './http1call.js';
export type { Http1Receiver } from './http1receiver.js';
export type { Http1Exchange } from './http1exchange.js';
export { linger } from './linger.js';
export { lingerAfter } from './lingerafter.js';
export { PieceMerger } from './piecemerger.js';
