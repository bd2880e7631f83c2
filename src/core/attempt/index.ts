/** Attempts of one request: after each end, whether to retry, continue elsewhere or tell the caller. */
export type { AttemptEffect } from './attempteffect.js';
export type { AttemptEvent } from './attemptevent.js';
export type { AttemptState } from './attemptstate.js';
export { conclude } from './conclude.js';
export { startAttempt } from './startattempt.js';
export { stepAttempt } from './stepattempt.js';
