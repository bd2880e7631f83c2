import type { Ms } from '../../base/index.js';

/** What one start of an upstream has said of itself, as far as this process knows. */
export interface Standing {
  /** Requests a second that it takes from all processes together; absent without a limit. */
  readonly ratePerS?: number;
  /** When the newest answer came that could tell of the rate, at whichever process. */
  readonly rateAtMs: Ms;
  /** It ends soon. A start that leaves never comes back. */
  readonly isLeaving: boolean;
  /** It wants nothing from this process before then. */
  readonly pausedUntilMs: Ms;
}
