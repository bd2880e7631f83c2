import type { Ms } from '../../base/index.js';

/** One entry's limit for an engine. All entries observe the same gaps and therefore reach similar limits. */
export interface LimitState {
  /** Limit on running and queued requests at `changedAtMs`, as a fraction of the engine's slots. */
  readonly fill: number;
  readonly changedAtMs: Ms;
}
