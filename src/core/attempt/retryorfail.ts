import { Executed } from '../../wire/index.js';
import type { AttemptEvent } from './attemptevent.js';
import type { AttemptState } from './attemptstate.js';

/** Refusals that every upstream would give. */
const FINAL = new Set(['cancelled', 'deadline-passed', 'ticket-expired', 'ticket-unknown']);

type Ended = Extract<AttemptEvent, { type: 'refused' | 'broken' }>;
type Verdict = 'retry' | 'fail';

function mayRepeat(state: AttemptState, event: Ended): boolean {
  // Only one sidecar may run a bound request, and its refusal is final: it is asked again only if it did not answer.
  if (state.bound) return event.type === 'broken';
  return event.refusal.executed === Executed.EXECUTED_NO || state.repeatable;
}

/** True if another upstream may continue after the part of the answer that the caller has received. */
function mayContinue({ repeatable, bound }: AttemptState, event: Ended): boolean {
  if (!repeatable || bound) return false;
  if (event.type === 'broken') return event.continuable;
  return event.refusal.executed === Executed.EXECUTED_NO;
}

/** Decides what follows an attempt without a complete answer. */
export function retryOrFail(state: AttemptState, event: Ended, nowMs: number): Verdict {
  if (state.attempt >= state.attemptLimit || FINAL.has(event.refusal.type)) return 'fail';
  if (state.passed) return mayContinue(state, event) ? 'retry' : 'fail';
  if (nowMs >= state.deadlineAtMs) return 'fail';
  return mayRepeat(state, event) ? 'retry' : 'fail';
}
