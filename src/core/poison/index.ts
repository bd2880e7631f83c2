/** Distinguishes traits of requests that crash upstreams (queries of death) from those that only were there. */
export type { Assessment } from './assessment.js';
export { convict } from './convict.js';
export type { Conviction } from './conviction.js';
export { crashProbability } from './crashprobability.js';
export { countedCrashes } from './countedcrashes.js';
export type { Crash } from './crash.js';
export type { CrashState } from './crashstate.js';
export { isRefuted } from './isrefuted.js';
export { judge } from './judge.js';
export type { ListedSuspect } from './listedsuspect.js';
export { merge } from './merge.js';
export { partTrait } from './parttrait.js';
export { poisonRules } from './poisonrules.js';
export type { Suspect } from './suspect.js';
export type { Verdict } from './verdict.js';
