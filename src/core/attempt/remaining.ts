import type { AttemptState } from './attemptstate.js';

/** The deadline is for the first token; an answer that has begun gets this to be taken up again. */
const CONTINUE_WITHIN_MS = 2000;

/** Time that the next attempt has. */
export function remaining({ passed, deadlineAtMs }: AttemptState, nowMs: number): number {
  const leftMs = Math.max(0, Math.floor(deadlineAtMs - nowMs));
  return passed ? Math.max(leftMs, CONTINUE_WITHIN_MS) : leftMs;
}
