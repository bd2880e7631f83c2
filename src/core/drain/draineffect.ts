import type { DrainPhase } from './drainphase.js';

/** The drain has entered a new phase. */
export interface DrainEffect {
  readonly type: 'phase';
  readonly phase: DrainPhase;
  /** Models that no other upstream has yet, at the time of the phase change. */
  readonly unplaced: number;
}
