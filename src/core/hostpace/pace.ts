import type { Ms } from '../../base/index.js';

/** Pace of one upstream as factors: 1 is usual, 2 means that work takes twice as long. */
export interface Pace {
  /** Average over the last seconds. */
  readonly average: number;
  /** As last reported. */
  readonly reported: number;
  /** When it was last reported; -Infinity if never. */
  readonly reportedAtMs: Ms;
  /** Average of what all entries have learned; absent until the order lease holder has sent one. */
  readonly shared?: { readonly average: number; readonly atMs: Ms };
}
