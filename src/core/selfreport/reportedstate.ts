import type { Ms } from '../../base/index.js';

/** What one incarnation of an upstream has reported of itself, as far as this process knows. */
export interface ReportedState {
  /** Requests per second that it accepts from all processes together; absent without a limit. */
  readonly ratePerS?: number;
  /** Arrival of the newest answer that could name a rate, at whichever process. */
  readonly rateAtMs: Ms;
  /** It is about to end. An incarnation that leaves never comes back. */
  readonly isLeaving: boolean;
  /** It asked this process to send it nothing before then. */
  readonly backoffUntilMs: Ms;
}
