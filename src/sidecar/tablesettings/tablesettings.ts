import type { Ms } from '../../base/index.js';

/** Bounds of a sidecar's run-once table. */
export interface TableSettings {
  /** Memory for tickets and recorded answers. */
  readonly tableBytes: number;
  /** Largest answer that is kept for repeats. */
  readonly answerBytes: number;
  /** Longest life of a ticket. */
  readonly maxValidMs: Ms;
}
