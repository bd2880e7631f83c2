import type { Outcome } from './outcome.js';

/** One request of the load and all that its caller was told. */
export interface Asked {
  readonly id: string;
  readonly kind: 'draft' | 'archive' | 'lookup' | 'confirm';
  readonly outcomes: readonly Outcome[];
  /** First attempt to last word, or to the first token of a stream. */
  readonly tookMs: number;
  /** Told "not run" although it had run by then. */
  readonly falseNotRun: boolean;
}
