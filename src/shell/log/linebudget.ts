import type { Ms } from '../../base/index.js';
import type { LineKind } from './linekind.js';

const SECOND_MS = 1000;
const NONE: Readonly<Record<LineKind, number>> = {
  ordinary: 0,
  state: 0,
  connection: 0,
  decision: 0,
};

/** Rate limit for log lines, with a limit of its own for each kind, so that no kind displaces another. */
export class LineBudget {
  private secondAtMs: Ms = 0;

  private used = { ...NONE };

  private droppedCount = 0;

  /** `limits` are the most lines of each kind that may be written within one second. */
  constructor(private readonly limits: Readonly<Record<LineKind, number>>) {}

  /** Counts a line against its limit. False if the limit of this second is used up. */
  take(kind: LineKind): boolean {
    if (this.used[kind] >= this.limits[kind]) {
      this.droppedCount += 1;
      return false;
    }
    this.used[kind] += 1;
    return true;
  }

  /** Starts a new second if one has passed. Returns how many lines were dropped in the previous one. */
  startSecond(nowMs: Ms): number {
    if (nowMs - this.secondAtMs < SECOND_MS) return 0;
    this.secondAtMs = nowMs;
    this.used = { ...NONE };
    const { droppedCount } = this;
    this.droppedCount = 0;
    return droppedCount;
  }

  /** Counts a line that was dropped without a check of its limit. */
  countDropped(): void {
    this.droppedCount += 1;
  }
}
