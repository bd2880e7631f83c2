import type { Ms } from '../../base/index.js';

/** What is known of a request whose model or adapter is not there. */
export interface ResidencyWait {
  /** When it should be there, counted from now. */
  readonly inMs: Ms;
  /** Something is being done about it, so that the time is more than a guess. */
  readonly isUnderWay: boolean;
  /** How long the request has been here. */
  readonly heldMs: Ms;
  /** What is left of its caller's time. */
  readonly remainingMs: Ms;
  /** The time within which its route's answers should begin. */
  readonly targetMs: Ms;
  /** From 0 to 1, another for each request: spreads those that are told to come back. */
  readonly place: number;
}
