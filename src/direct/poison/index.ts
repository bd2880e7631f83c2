/** Requests that end the upstreams that run them: found out, told to all entries, kept, refused. */
export { PoisonDesk } from './poisondesk.js';
export { poisonLimits } from './poisonlimits.js';
export type { PoisonReport } from './poisonreport.js';
export type { SuspectBatch } from './suspectbatch.js';
export type { TrialQuestion } from './trialquestion.js';
