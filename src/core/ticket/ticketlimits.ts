import type { Ms } from '../../base/index.js';

/** Limits of a ticket table. */
export interface TicketLimits {
  /** Maximum memory of tickets and recorded answers, as estimated by `rowBytes`. */
  readonly tableBytes: number;
  /** Maximum size of a recorded answer; of a larger one only the outcome is kept. */
  readonly answerBytes: number;
  /** Maximum validity of a ticket, and the validity if the request states none. */
  readonly maxValidMs: Ms;
}
