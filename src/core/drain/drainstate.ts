import type { Ms } from '../../base/index.js';
import type { DrainPhase } from './drainphase.js';

/** How far an upstream has come in leaving. */
export interface DrainState {
  readonly phase: DrainPhase;
  /** Who said that it leaves. */
  readonly reason: 'stop' | 'host-list' | 'engine' | undefined;
  /** Requests that use the upstream. */
  readonly inFlight: number;
  /** Models here that have no place elsewhere yet. */
  readonly unplaced: number;
  /** How long `placing` may last. */
  readonly placeTimeoutMs: Ms;
  readonly placeUntilMs: Ms;
}
