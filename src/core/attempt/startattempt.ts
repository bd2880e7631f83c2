import type { Change } from '../../base/index.js';
import type { AttemptEffect } from './attempteffect.js';
import type { AttemptState } from './attemptstate.js';
import { remaining } from './remaining.js';

const ATTEMPT_LIMIT = 4;

/** What a new request brings. */
type Start = Pick<AttemptState, 'repeatable' | 'bound' | 'deadlineAtMs'>;

/** The state of a new request, and its first effect. */
export function startAttempt(start: Start, nowMs: number): Change<AttemptState, AttemptEffect> {
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
  const remainingMs = remaining(state, nowMs);
  return { state, effects: [{ type: 'choose', tried: [], remainingMs, afterMs: 0 }] };
}
