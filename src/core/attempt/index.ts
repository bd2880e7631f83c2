/** Attempts of one request: after each, decides whether to retry, continue at another upstream, or refuse. */
export type { AttemptEffect } from './attempteffect.js';
export type { AttemptEvent } from './attemptevent.js';
export type { AttemptState } from './attemptstate.js';
export { finalRefusal } from './finalrefusal.js';
export { startAttempt } from './startattempt.js';
export { stepAttempt } from './stepattempt.js';
