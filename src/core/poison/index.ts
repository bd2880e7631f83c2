/** Which requests end the upstreams that run them, told from those that ran beside them by bad luck. */
export { chanceOfEnd } from './chanceofend.js';
export { countedCrashes } from './countedcrashes.js';
export type { Crash } from './crash.js';
export type { CrashState } from './crashstate.js';
export { judge } from './judge.js';
export { merge } from './merge.js';
export { poisonRules } from './poisonrules.js';
export type { Suspect } from './suspect.js';
export type { Verdict } from './verdict.js';
