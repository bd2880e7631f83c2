import type { WeightLoad } from './weightload.js';

/** What the weight store serves at a moment. */
export interface WeightState {
  readonly atMs: number;
  readonly nextId: number;
  /** When the latest load was let begin. */
  readonly lastStartAtMs: number;
  readonly loads: readonly WeightLoad[];
}
