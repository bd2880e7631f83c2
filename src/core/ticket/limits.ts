import type { Ms } from '../../base/index.js';

/** Bounds of a run-once table. */
export interface Limits {
  /** Memory that tickets and recorded answers may take, by the table's own reckoning. */
  readonly tableBytes: number;
  /** Largest answer that is kept; of a larger one only the outcome is. */
  readonly answerBytes: number;
  /** Longest life of a ticket; also that of a ticket that asks for none. */
  readonly maxValidMs: Ms;
}
