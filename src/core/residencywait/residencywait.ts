import type { Ms } from '../../base/index.js';

/** A request whose model or adapter is not in memory, and the load that it waits for. */
export interface ResidencyWait {
  /** Expected time until it is ready. */
  readonly inMs: Ms;
  /** True if its load is under way, so that `inMs` is more than a guess. */
  readonly isUnderWay: boolean;
  /** How long the request has waited so far. */
  readonly heldMs: Ms;
  /** Time left until the caller's deadline. */
  readonly remainingMs: Ms;
  /** Target time to the first event of the route's answers. */
  readonly targetMs: Ms;
  /** True if it continues a stream; absent: false. */
  readonly isContinued?: boolean;
  /** How long it has waited without word from the order lease holder that a load can be expected; absent: 0. */
  readonly unplannedMs?: Ms;
  /** From 0 to 1, different for each request: spreads the retries over time. */
  readonly place: number;
}
