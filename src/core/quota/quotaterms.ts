import type { Ms } from '../../base/index.js';

/** How exactly a quota has to hold over all entries, from the settings. */
export interface QuotaTerms {
  readonly windowMs: Ms;
  /** Part of what a window allows that may be sent beyond it. */
  readonly overshoot: number;
  /** What may be sent beyond that, in the quota's unit. */
  readonly slack: number;
}
