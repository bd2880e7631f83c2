import type { Ms } from '../base/index.js';

/**
 * Least number of parts into which budgets of all entries (retries, connections) are divided, so that a limit holds
 * when entries are added or a few are unknown.
 */
const MIN_SHARES = 8;
/** Number of parts per known entry: a quarter more entries may start before the count is reported again. */
const SHARES_PER_ENTRY = 1.25;
/** Number of parts until the count is known, within a second of the start: the same as for 25 entries. */
const UNKNOWN_SHARES = 32;
/** An entry that has not reported for this long is not counted any more; a restart takes a few seconds. */
const FORGET_MS = 20_000;

/** Estimates the number of entries from their reports. */
export class EntryCount {
  private readonly reportedAtMs = new Map<string, Ms>();

  private reportedCount = 0;

  private recordedCount = 0;

  private recordedAtMs: Ms = 0;

  /** Records a report by another entry. */
  heard(entry: string, nowMs: Ms): void {
    this.reportedAtMs.set(entry, nowMs);
  }

  /** The count that the order lease holder reported last; 0 if it has not yet. */
  get reported(): number {
    return this.reportedCount;
  }

  /** Records the count that the order lease holder reported, to which all entries report. */
  setReportedCount(count: number): void {
    this.reportedCount = count;
  }

  /**
   * Records the count in the order lease's record: all that an entry knows right after its start. A lower one counts
   * later, because a new holder knows only the entries that have reached it.
   */
  setRecordedCount(count: number, nowMs: Ms): void {
    if (count < this.recordedCount && nowMs - this.recordedAtMs < FORGET_MS) return;
    this.recordedCount = count;
    this.recordedAtMs = nowMs;
  }

  /** Returns the number of entries that reported lately, including this one. */
  count(nowMs: Ms): number {
    for (const [entry, atMs] of this.reportedAtMs) {
      if (nowMs - atMs > FORGET_MS) this.reportedAtMs.delete(entry);
    }
    return this.reportedAtMs.size + 1;
  }

  /**
   * Returns the number of entries as known from the holder's count, the lease record or own reports. To a new holder not
   * all have reported yet.
   */
  known(nowMs: Ms): number {
    return Math.max(this.reportedCount, this.recordedCount, this.count(nowMs));
  }

  /** Returns the number of parts into which shared budgets are divided. */
  shares(nowMs: Ms): number {
    const count = this.known(nowMs);
    if (count <= 1) return UNKNOWN_SHARES;
    return Math.max(MIN_SHARES, Math.ceil(count * SHARES_PER_ENTRY));
  }
}
