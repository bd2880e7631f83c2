import type { Ms } from '../../base/index.js';

/** What one entry knows of how much an engine bears. All entries see the same gaps and so come to the same. */
export interface LimitState {
  /** Requests that it should have, as a part of its slots, when `changedAtMs` was now. */
  readonly fill: number;
  readonly changedAtMs: Ms;
}
