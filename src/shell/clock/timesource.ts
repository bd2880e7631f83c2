import type { Ms } from '../../base/index.js';

/** Clocks of the operating system that a `HostClock` reads. */
export interface TimeSource {
  /** Monotonic time without suspended time; timers go by it. */
  steadyMs(): Ms;
  /** Monotonic time including suspended time; its origin differs from that of `steadyMs`. */
  boottimeMs(): Ms;
  wallMs(): Ms;
}
