import type { Ms } from '../../base/index.js';
import { poisonRules } from './poisonrules.js';

/**
 * Returns true if a run with a trait shows that a crash has another cause. A trait that crashes upstreams crashes each
 * one that begins an answer, so a run that went well into its answer proves that the trait was sound when the answer
 * began. A trait may also become a cause later, so the proof must not be much older than the crash.
 */
export function isRefuted(crashKnownAtMs: Ms, answerBeganAtMs: Ms): boolean {
  return answerBeganAtMs > crashKnownAtMs - poisonRules.priorProofMs;
}
