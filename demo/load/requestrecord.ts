import type { Outcome } from './outcome.js';

/** A request of the load, with all outcomes that its caller received. */
export interface RequestRecord {
  readonly id: string;
  readonly kind: 'draft' | 'archive' | 'lookup' | 'confirm';
  readonly outcomes: readonly Outcome[];
  /** Time from the first attempt to the last outcome, or to the first token of a stream. */
  readonly tookMs: number;
  /** True if it was refused as not run although it had run by then. */
  readonly falseNotRun: boolean;
}
