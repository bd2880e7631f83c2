import type { Ms } from '../../base/index.js';

/** Circuit breaker of one upstream. While `half-open`, it lets one trial request through. */
export interface Breaker {
  readonly phase: 'closed' | 'open' | 'half-open';
  /** Number of consecutive failures. */
  readonly failures: number;
  readonly openedAtMs: Ms;
  /** Time for which it stays open. */
  readonly coolMs: Ms;
  /** When the last trial request was sent. */
  readonly triedAtMs: Ms;
}
