import type { Ms } from '../../base/index.js';

/** Circuit breaker of one upstream. `half-open` lets one request through to try it. */
export interface Breaker {
  readonly phase: 'closed' | 'open' | 'half-open';
  /** Failures in a row. */
  readonly failures: number;
  readonly openedAtMs: Ms;
  /** How long it stays open this time. */
  readonly coolMs: Ms;
  /** When the last trial request was sent. */
  readonly triedAtMs: Ms;
}
