import type { Breaker } from './breaker.js';

/** The initial breaker state: all requests pass. */
export const closedBreaker: Breaker = {
  phase: 'closed',
  failures: 0,
  openedAtMs: -Infinity,
  coolMs: 0,
  triedAtMs: -Infinity,
};
