import type { Ms } from '../../base/index.js';
import type { OverloadPhase } from './overloadphase.js';

/** What a process knows of its accept queue. */
export interface OverloadState {
  readonly phase: OverloadPhase;
  /** Since when the queue has not been seen empty; undefined if it was empty at the last poll. */
  readonly standingSinceMs: Ms | undefined;
  /** Polls since then that have found a connection. */
  readonly standingTurns: number;
  readonly acceptedAtMs: Ms;
  readonly sheddingSinceMs: Ms;
  /** Connections refused since then. */
  readonly refusedCount: number;
  /** Connections closed since then. */
  readonly closedCount: number;
}
