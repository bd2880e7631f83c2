import type { Ms } from '../../base/index.js';

/** A model that entries found nowhere, and that is kept wanted for a while. */
export interface Rescue {
  readonly model: string;
  readonly adapters: readonly string[];
  readonly untilMs: Ms;
}
