import { Executed } from '../../wire/index.js';
import type { AttemptState } from './attemptstate.js';

/**
 * Whether a request that no other upstream is left for may go to one that failed it: once, if that was a
 * failure and no refusal, and if it may be run again or has certainly not run.
 */
export function mayStartAgain(state: AttemptState, nowMs: number): boolean {
  if (state.again || state.bound || !state.hasFailed) return false;
  if (state.attempt >= state.attemptLimit) return false;
  if (!state.passed && nowMs >= state.deadlineAtMs) return false;
  if (state.repeatable) return true;
  return state.refusals.every(({ executed }) => executed === Executed.EXECUTED_NO);
}
