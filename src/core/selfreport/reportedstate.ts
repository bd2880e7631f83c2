import type { Ms } from '../../base/index.js';

/** What one incarnation of an upstream has reported of itself, as far as this process knows. */
export interface ReportedState {
  /** Requests per second that it accepts from all processes together; absent without a limit. */
  readonly ratePerS?: number;
  /** Arrival of the newest answer that could name a rate, at whichever process. */
  readonly rateAtMs: Ms;
  /** True once the upstream is leaving. An incarnation that leaves never accepts requests again. */
  readonly isLeaving: boolean;
  /** The upstream has requested that this process send nothing before this time. */
  readonly backoffUntilMs: Ms;
}
