import type { DrainPhase } from './drainphase.js';

/** The upstream is in a new phase of leaving. */
export interface DrainEffect {
  readonly type: 'phase';
  readonly phase: DrainPhase;
  /** Models that had no place elsewhere when the time was up. */
  readonly unplaced: number;
}
