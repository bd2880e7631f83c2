/** Phases of a planned stop (drain) within the grace period. */
export { stopPhase } from './stopphase.js';
export { acceptRequestsMs } from './acceptrequestsms.js';
