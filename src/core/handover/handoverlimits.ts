import type { Ms } from '../../base/index.js';

/** Limits of one hand-over. */
export interface HandOverLimits {
  /** Total size of the caches of all sessions. */
  readonly totalBytes: number;
  /** Largest cache that one message can carry. */
  readonly messageBytes: number;
  /** Maximum number of sessions whose caches are exported or sent at the same time. */
  readonly concurrentSessions: number;
  readonly timeoutMs: Ms;
}
