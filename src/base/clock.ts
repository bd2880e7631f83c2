import type { Ms } from './ms.js';

/**
 * The only source of time. Shells take one and pass its readings to the pure cores, so that a test
 * may drive a whole process by a virtual clock.
 */
export interface Clock {
  /** Monotonic reading in ms. Its zero means nothing; it is never compared between hosts. */
  nowMs(): Ms;
  /** Wall-clock reading in ms since the epoch, for audit entries and logs only. */
  wallMs(): Ms;
  /** Calls `act` once after `delayMs`; the returned function prevents the call. */
  after(delayMs: Ms, act: () => void): () => void;
}
