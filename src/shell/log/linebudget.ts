import type { Ms } from '../../base/index.js';

/** Most lines that may be written within one second. */
interface LineLimits {
  /** Lines about requests that succeeded. */
  readonly ordinary: number;
  /** Every other line. */
  readonly important: number;
}

const SECOND_MS = 1000;

/** Rate limit for log lines. Lines about successful requests have their own limit, so they never displace others. */
export class LineBudget {
  private secondAtMs: Ms = 0;

  private ordinary = 0;

  private important = 0;

  private droppedCount = 0;

  constructor(private readonly limits: LineLimits) {}

  /** Counts a line against its limit. False if the limit of this second is used up. */
  take(isOrdinary: boolean): boolean {
    const used = isOrdinary ? this.ordinary : this.important;
    const limit = isOrdinary ? this.limits.ordinary : this.limits.important;
    if (used >= limit) {
      this.droppedCount += 1;
      return false;
    }
    if (isOrdinary) this.ordinary += 1;
    else this.important += 1;
    return true;
  }

  /** Starts a new second if one has passed. Returns how many lines were dropped in the previous one. */
  startSecond(nowMs: Ms): number {
    if (nowMs - this.secondAtMs < SECOND_MS) return 0;
    this.secondAtMs = nowMs;
    this.ordinary = 0;
    this.important = 0;
    const { droppedCount } = this;
    this.droppedCount = 0;
    return droppedCount;
  }

  /** Counts a line that was dropped without a check of its limit. */
  countDropped(): void {
    this.droppedCount += 1;
  }
}
