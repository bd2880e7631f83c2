import { Executed } from '../../wire/index.js';
import type { AttemptState } from './attemptstate.js';

/**
 * True if a request for which no other upstream is left may be sent to one that failed it. This is allowed once, if the
 * last attempt failed rather than was refused, and if the request may be repeated or has certainly not run.
 */
export function mayRetryTried(state: AttemptState, nowMs: number): boolean {
  if (state.again || state.bound || !state.hasFailed) return false;
  if (state.attempt >= state.attemptLimit) return false;
  if (!state.passed && nowMs >= state.deadlineAtMs) return false;
  if (state.repeatable) return true;
  return state.refusals.every(({ executed }) => executed === Executed.EXECUTED_NO);
}
