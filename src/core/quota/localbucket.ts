import type { Ms } from '../../base/index.js';
import type { Quota } from '../access/index.js';
import { capacityOf } from './capacityof.js';
import { quotaLimits } from './quotalimits.js';
import type { QuotaTerms } from './quotaterms.js';

/** The time span in which an entry fills its bucket from a fixed part of the rate, and the size of that part. */
interface Isolation {
  readonly fromMs: Ms;
  readonly untilMs: Ms;
  /** Number of equal parts into which the rate is divided. */
  readonly parts: number;
}

/** The part of one customer's quota that one entry holds. */
export class LocalBucket {
  level = 0;

  /** Demand since the last report, whether granted or not. */
  private wanted = 0;

  private filledAtMs: Ms = -Infinity;

  private idleCount = 0;

  private wasRefused = false;

  private backoffUntilMs: Ms = -Infinity;

  /** Time at which the requests refused so far will have been served. */
  private servedAtMs: Ms = -Infinity;

  /** Counts the demand of a request, whether it is granted or not. */
  recordDemand(cost: number): void {
    this.wanted += cost;
  }

  take(cost: number): boolean {
    if (this.level < cost) return false;
    this.level -= cost;
    return true;
  }

  /** Takes the whole level for a request that asks the holder for the rest, so that no other request can use it. */
  takeAll(): number {
    const { level } = this;
    this.level = 0;
    return level;
  }

  deposit(amount: number): void {
    this.level += amount;
  }

  /** Fills the bucket from the entry's own part of the rate for the time in which it had no contact with the holder. */
  fill(quota: Quota, terms: QuotaTerms, { fromMs, untilMs, parts }: Isolation, nowMs: Ms): void {
    const startMs = Math.max(this.filledAtMs, fromMs);
    const endMs = Math.min(nowMs, untilMs);
    this.filledAtMs = nowMs;
    if (endMs <= startMs) return;
    const most = capacityOf(quota, terms) / parts;
    if (this.level >= most) return;
    const inflow = ((endMs - startMs) * quota.ratePerS) / 1000 / parts;
    this.level = Math.min(most, this.level + inflow);
  }

  /** The holder had nothing left: it is not asked again for `backoffMs`. */
  onRefused(retryAfterMs: Ms, backoffMs: Ms, nowMs: Ms): void {
    this.wasRefused = true;
    this.backoffUntilMs = nowMs + backoffMs;
    this.servedAtMs = nowMs + Math.min(retryAfterMs, quotaLimits.maxRetryAfterMs);
  }

  isBackingOff(nowMs: Ms): boolean {
    return nowMs < this.backoffUntilMs;
  }

  /** Returns the retry-after time of a request that is refused now: behind those refused before it. */
  retryAfterMs(cost: number, { ratePerS }: Quota, nowMs: Ms): Ms {
    this.servedAtMs = Math.max(nowMs, this.servedAtMs) + (cost / ratePerS) * 1000;
    return Math.min(quotaLimits.maxRetryAfterMs, this.servedAtMs - nowMs);
  }

  /** Creates the next report to the holder; the returned amount leaves this bucket. */
  report(): { readonly wanted: number; readonly held: number; readonly returned: number } {
    const { wanted } = this;
    this.idleCount = wanted > 0 ? 0 : this.idleCount + 1;
    const isIdle = this.idleCount >= quotaLimits.idleReports;
    // A level that is too low for the requests here can be of use to another entry.
    const returned = isIdle || this.wasRefused ? Math.max(0, this.level) : 0;
    this.level -= returned;
    this.wanted = 0;
    this.wasRefused = false;
    return { wanted, held: this.level, returned };
  }
}
