import type { Transition } from '../../base/index.js';
import type { AttemptEffect } from './attempteffect.js';
import type { AttemptState } from './attemptstate.js';
import { remainingTimeMs } from './remainingtimems.js';

const ATTEMPT_LIMIT = 4;

/** Properties of a new request. */
type Start = Pick<AttemptState, 'repeatable' | 'bound' | 'deadlineAtMs'>;

/** Returns the state of a new request and its first effect. */
export function startAttempt(start: Start, nowMs: number): Transition<AttemptState, AttemptEffect> {
  const state: AttemptState = {
    ...start,
    phase: 'choosing',
    attempt: 0,
    upstream: undefined,
    tried: [],
    hasFailed: false,
    again: false,
    refusals: [],
    passed: false,
    attemptLimit: ATTEMPT_LIMIT,
  };
  const remainingMs = remainingTimeMs(state, nowMs);
  return { state, effects: [{ type: 'choose', tried: [], remainingMs, afterMs: 0 }] };
}
