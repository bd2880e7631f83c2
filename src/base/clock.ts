import type { Ms } from './ms.js';

/**
 * The only source of time. Shells read it and pass the time to the pure cores, so that a test can run a
 * whole process on a virtual clock.
 */
export interface Clock {
  /** Monotonic time in ms. Its origin is arbitrary, so it must not be compared between hosts. */
  nowMs(): Ms;
  /** Unix time in ms, for audit entries and logs only. */
  wallMs(): Ms;
  /** Calls `act` once after `delayMs`. The returned function cancels the call. */
  after(delayMs: Ms, act: () => void): () => void;
}
