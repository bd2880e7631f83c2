import type { Ms } from '../../base/index.js';
import type { Waiter } from './waiter.js';

/** Where a run is between its first wait and its end. */
export interface Place {
  readonly waiter: Waiter;
  /** `trying`: its attempt is under way; `claimed`: the attempt found a slot, and the request is not sent yet. */
  phase: 'outside' | 'waiting' | 'trying' | 'claimed';
  joinedAtMs: Ms;
  /** Total time in the queue, without the wait under way. */
  waitedMs: Ms;
  /** When it was expected to start, as of its first wait. */
  forecastMs: Ms | undefined;
  firstJoinedAtMs: Ms | undefined;
}
