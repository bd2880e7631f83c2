import { Executed } from '../../wire/index.js';
import type { AttemptEvent } from './attemptevent.js';
import type { AttemptState } from './attemptstate.js';

/** Refusals that another upstream would give as well. */
const FINAL = new Set(['cancelled', 'deadline-passed', 'ticket-expired', 'ticket-unknown']);

type Ended = Extract<AttemptEvent, { type: 'refused' | 'broken' }>;
type Verdict = 'retry' | 'fail';

function mayRepeat(state: AttemptState, event: Ended): boolean {
  // The one sidecar that may run a bound request answers for it: only silence is worth asking again.
  if (state.bound) return event.type === 'broken';
  return event.refusal.executed === Executed.EXECUTED_NO || state.repeatable;
}

/** Whether another upstream may go on after what the caller has been sent. */
function mayContinue({ repeatable, bound }: AttemptState, event: Ended): boolean {
  if (!repeatable || bound) return false;
  if (event.type === 'broken') return event.continuable;
  return event.refusal.executed === Executed.EXECUTED_NO;
}

/** Decides what follows an attempt that gave no whole answer. */
export function judge(state: AttemptState, event: Ended, nowMs: number): Verdict {
  if (state.attempt >= state.attemptLimit || FINAL.has(event.refusal.type)) return 'fail';
  if (state.passed) return mayContinue(state, event) ? 'retry' : 'fail';
  if (nowMs >= state.deadlineAtMs) return 'fail';
  return mayRepeat(state, event) ? 'retry' : 'fail';
}
