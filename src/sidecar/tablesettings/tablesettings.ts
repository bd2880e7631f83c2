import type { Ms } from '../../base/index.js';

/** Limits of a sidecar's run-once table. */
export interface TableSettings {
  /** Memory for tickets and recorded answers. */
  readonly tableBytes: number;
  /** Largest answer that is stored for repeats of its request. */
  readonly answerBytes: number;
  /** Longest validity of a ticket. */
  readonly maxValidMs: Ms;
}
