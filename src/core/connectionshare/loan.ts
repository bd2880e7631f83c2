import type { Ms } from '../../base/index.js';

/** What one entry may use of an upstream's connections beyond its base, as the holder keeps it. */
export interface Loan {
  /** Counts that the entry may have opened since it last reported, and when it may not any more. */
  readonly grants: readonly { readonly count: number; readonly untilMs: Ms }[];
  /** Connections beyond the base that it had open then. */
  readonly openCount: number;
}
