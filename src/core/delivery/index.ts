/** Decides how to proceed with a request after each attempt at an upstream. */
export type { AttemptEnd } from './attemptend.js';
export { nextStep } from './nextstep.js';
export type { Progress } from './progress.js';
