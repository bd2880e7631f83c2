/**
 * Queue of an entry for requests that found no free slot: which request is tried next, which are refused, and when a
 * request is expected to start.
 */
export { headOf } from './headof.js';
export { leave } from './leave.js';
export { offer } from './offer.js';
export type { QueueRefusal } from './queuerefusal.js';
export type { QueueRequest } from './queuerequest.js';
export { queueRules } from './queuerules.js';
export type { QueueState } from './queuestate.js';
export { recordSend } from './recordsend.js';
export { returnInMs } from './returninms.js';
export { review } from './review.js';
export { startQueue } from './startqueue.js';
export { wouldOvertake } from './wouldovertake.js';
