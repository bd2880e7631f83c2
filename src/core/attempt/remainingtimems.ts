import type { AttemptState } from './attemptstate.js';

/** The deadline applies to the first token; an answer that has begun gets this time to be continued elsewhere. */
const CONTINUE_WITHIN_MS = 2000;

/** Returns the time available to the next attempt. */
export function remainingTimeMs({ passed, deadlineAtMs }: AttemptState, nowMs: number): number {
  const leftMs = Math.max(0, Math.floor(deadlineAtMs - nowMs));
  return passed ? Math.max(leftMs, CONTINUE_WITHIN_MS) : leftMs;
}
