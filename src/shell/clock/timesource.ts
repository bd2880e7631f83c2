import type { Ms } from '../../base/index.js';

/** The operating system's clocks that a host clock reads. */
export interface TimeSource {
  /** Stands still while the host is suspended; timers go by it. */
  steadyMs(): Ms;
  /** As `steadyMs`, but goes on while the host is suspended. Its zero is another one. */
  boottimeMs(): Ms;
  wallMs(): Ms;
}
