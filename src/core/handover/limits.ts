import type { Ms } from '../../base/index.js';

/** Bounds of one hand-over. */
export interface Limits {
  /** Caches of all sessions together. */
  readonly totalBytes: number;
  /** The largest cache that one message carries. */
  readonly messageBytes: number;
  /** Sessions whose caches are held here at once. */
  readonly atOnce: number;
  readonly timeoutMs: Ms;
}
