/** Distinguishes requests that crash upstreams (queries of death) from those that only ran on a crashing upstream. */
export { crashProbability } from './crashprobability.js';
export { countedCrashes } from './countedcrashes.js';
export type { Crash } from './crash.js';
export type { CrashState } from './crashstate.js';
export { judge } from './judge.js';
export { merge } from './merge.js';
export { poisonRules } from './poisonrules.js';
export type { Suspect } from './suspect.js';
export type { Verdict } from './verdict.js';
