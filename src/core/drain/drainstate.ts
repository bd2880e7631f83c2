import type { Ms } from '../../base/index.js';
import type { DrainPhase } from './drainphase.js';

/** State of an upstream's drain. */
export interface DrainState {
  readonly phase: DrainPhase;
  /** Origin of the drain. */
  readonly reason: 'stop' | 'host-list' | 'engine' | undefined;
  /** Requests in flight at the upstream. */
  readonly inFlight: number;
  /** Models here that no other upstream has yet. */
  readonly unplaced: number;
  /** Maximum duration of `placing`. */
  readonly placeTimeoutMs: Ms;
  readonly placeUntilMs: Ms;
}
