/** Phases of a planned stop (drain) within the grace period, and which requests still fit into it. */
export { stopPhase } from './stopphase.js';
export { acceptRequestsMs } from './acceptrequestsms.js';
export { stopTimes } from './stoptimes.js';
export type { AnswerTimes } from './answertimes.js';
export { recordAnswer } from './recordanswer.js';
export { fitsStop } from './fitsstop.js';
