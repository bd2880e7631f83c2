/** Detects requests that crash upstreams, shares and stores what is known of them, and refuses them. */
export { PoisonGuard } from './poisonguard.js';
export { poisonLimits } from './poisonlimits.js';
export type { PoisonReport } from './poisonreport.js';
export type { SuspectBatch } from './suspectbatch.js';
export { traitFields } from './traitfields.js';
export type { TrialRequest } from './trialrequest.js';
export type { UpstreamRun } from './upstreamrun.js';
