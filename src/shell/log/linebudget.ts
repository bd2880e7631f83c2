import type { Ms } from '../../base/index.js';

/** What may be written in a second, and what was left out. */
interface Budget {
  /** Lines of requests that went well. */
  readonly ordinary: number;
  /** Every other line. */
  readonly important: number;
}

const SECOND_MS = 1000;

/** Bounds the lines of each second; what went well is left out before what did not. */
export class LineBudget {
  private secondAtMs: Ms = 0;

  private ordinary = 0;

  private important = 0;

  private leftOut = 0;

  constructor(private readonly budget: Budget) {}

  /** Whether a line may be written now. */
  take(isOrdinary: boolean): boolean {
    const used = isOrdinary ? this.ordinary : this.important;
    const most = isOrdinary ? this.budget.ordinary : this.budget.important;
    if (used >= most) {
      this.leftOut += 1;
      return false;
    }
    if (isOrdinary) this.ordinary += 1;
    else this.important += 1;
    return true;
  }

  /** Begins a new second if it is time; gives how many lines the one before left out. */
  turn(nowMs: Ms): number {
    if (nowMs - this.secondAtMs < SECOND_MS) return 0;
    this.secondAtMs = nowMs;
    this.ordinary = 0;
    this.important = 0;
    const { leftOut } = this;
    this.leftOut = 0;
    return leftOut;
  }

  /** A line that could not be written, whatever its kind. */
  lose(): void {
    this.leftOut += 1;
  }
}
