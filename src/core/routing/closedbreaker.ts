import type { Breaker } from './breaker.js';

/** A breaker that lets everything through. */
export const closedBreaker: Breaker = {
  phase: 'closed',
  failures: 0,
  openedAtMs: -Infinity,
  coolMs: 0,
  triedAtMs: -Infinity,
};
