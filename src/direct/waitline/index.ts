/** The queue of an entry: tries waiting requests when slots may have become free, and refuses those without prospect. */
export { answerTimeMs } from './answertimems.js';
export type { Place } from './place.js';
export type { Waiter } from './waiter.js';
export { Waitline } from './waitline.js';
