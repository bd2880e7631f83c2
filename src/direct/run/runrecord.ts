import type { Ms } from '../../base/index.js';

/** Data for a request's log line, collected while the request runs. Points in time are readings of the clock. */
export interface RunRecord {
  /** Upstream and outcome of each attempt, in order. */
  readonly attempts: string[];
  /** Software version of the upstream of each attempt that was sent, as known when it was sent. */
  readonly softwareVersions: (string | undefined)[];
  firstSentAtMs: Ms | undefined;
  firstByteAtMs: Ms | undefined;
  /** Age of the list of upstreams when the last upstream was chosen. */
  listAgeMs: Ms | undefined;
  longestGapMs: Ms;
  /** Size of the bodies of all answers, and the pieces in which they were read. */
  answerBytes: number;
  answerPieces: number;
  /** Time spent waiting while engines processed other prompts. */
  pacedMs: Ms;
  /** Time spent waiting for upstreams that are rate limited or paused. */
  blockedMs: Ms;
  /** Time spent waiting for an upstream that has the target and can be reached. */
  targetWaitMs: Ms;
  /** Attempts that were not sent because every connection to the upstream was in use. */
  unconnectedCount: number;
}
