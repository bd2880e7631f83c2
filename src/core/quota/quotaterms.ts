import type { Ms } from '../../base/index.js';

/** Tolerance within which a quota must hold over all entries, from the settings. */
export interface QuotaTerms {
  readonly windowMs: Ms;
  /** Allowed excess over what a window allows, as a fraction of it. */
  readonly overshoot: number;
  /** Additional allowed excess, in the quota's unit. */
  readonly slack: number;
}
