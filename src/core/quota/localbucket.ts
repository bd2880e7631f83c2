import type { Ms } from '../../base/index.js';
import type { Quota } from '../access/index.js';
import { capacityOf } from './capacityof.js';
import { quotaLimits } from './quotalimits.js';
import type { QuotaTerms } from './quotaterms.js';

/** When an entry goes by its own part of the rate, and what part that is. */
interface Alone {
  readonly fromMs: Ms;
  readonly untilMs: Ms;
  /** Into how many parts the rate is cut. */
  readonly parts: number;
}

/** What one entry holds of one customer's quota. */
export class LocalBucket {
  level = 0;

  /** Asked for since the last report, whether granted or not. */
  private wanted = 0;

  private filledAtMs: Ms = -Infinity;

  private idleCount = 0;

  private wasRefused = false;

  private closedUntilMs: Ms = -Infinity;

  /** What was told with the last refusal: when the line that stood then is served. */
  private servedAtMs: Ms = -Infinity;

  /** A request has come, whatever becomes of it. */
  want(cost: number): void {
    this.wanted += cost;
  }

  take(cost: number): boolean {
    if (this.level < cost) return false;
    this.level -= cost;
    return true;
  }

  /** Takes all that is there, for a request that asks the holder for the rest: no other may count on it. */
  takeAll(): number {
    const { level } = this;
    this.level = 0;
    return level;
  }

  give(amount: number): void {
    this.level += amount;
  }

  /** Fills from the entry's own part of the rate, for the time in which it had no holder to ask. */
  fill(quota: Quota, terms: QuotaTerms, { fromMs, untilMs, parts }: Alone, nowMs: Ms): void {
    const startMs = Math.max(this.filledAtMs, fromMs);
    const endMs = Math.min(nowMs, untilMs);
    this.filledAtMs = nowMs;
    if (endMs <= startMs) return;
    const most = capacityOf(quota, terms) / parts;
    if (this.level >= most) return;
    const inflow = ((endMs - startMs) * quota.ratePerS) / 1000 / parts;
    this.level = Math.min(most, this.level + inflow);
  }

  /** The holder had nothing left: it is not asked again before `againMs` from now. */
  refused(retryAfterMs: Ms, againMs: Ms, nowMs: Ms): void {
    this.wasRefused = true;
    this.closedUntilMs = nowMs + againMs;
    this.servedAtMs = nowMs + retryAfterMs;
  }

  isClosed(nowMs: Ms): boolean {
    return nowMs < this.closedUntilMs;
  }

  /** When a request that is refused now may come back: behind those that were refused before it. */
  retryAfterMs(cost: number, { ratePerS }: Quota, nowMs: Ms): Ms {
    this.servedAtMs = Math.max(nowMs, this.servedAtMs) + (cost / ratePerS) * 1000;
    return Math.min(quotaLimits.mostRetryAfterMs, this.servedAtMs - nowMs);
  }

  /** What goes into the next report; what is returned with it is no longer held. */
  report(): { readonly wanted: number; readonly held: number; readonly returned: number } {
    const { wanted } = this;
    this.idleCount = wanted > 0 ? 0 : this.idleCount + 1;
    const isIdle = this.idleCount >= quotaLimits.idleReports;
    // What is too little for the requests that come here is of use to another entry.
    const returned = isIdle || this.wasRefused ? Math.max(0, this.level) : 0;
    this.level -= returned;
    this.wanted = 0;
    this.wasRefused = false;
    return { wanted, held: this.level, returned };
  }
}
