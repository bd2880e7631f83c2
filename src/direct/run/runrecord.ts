import type { Ms } from '../../base/index.js';

/** What a request's log line tells of its way, noted while it runs. Times are readings of the clock. */
export interface RunRecord {
  /** Upstream and outcome of each attempt, in order. */
  readonly attempts: string[];
  firstSentAtMs: Ms | undefined;
  firstByteAtMs: Ms | undefined;
  longestGapMs: Ms;
  /** How long it waited while engines read other prompts. */
  pacedMs: Ms;
  /** How long it waited for its turn at upstreams that take nothing now. */
  blockedMs: Ms;
}
