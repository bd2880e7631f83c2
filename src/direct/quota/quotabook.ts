import type { Clock, CustomerId, HostId, Ms } from '../../base/index.js';
import type { AccessTable } from '../../core/access/index.js';
import { quotaLimits, SharedBucket, type QuotaTerms } from '../../core/quota/index.js';
import type { DrawAnswer } from './drawanswer.js';
import type { DrawQuestion } from './drawquestion.js';
import type { QuotaAnswer } from './quotaanswer.js';
import type { QuotaReport } from './quotareport.js';

/** What the holder's side of the quotas stands on. */
interface QuotaBookOptions {
  readonly clock: Clock;
  readonly terms: QuotaTerms;
  /** Into how many parts a rate is cut for entries out of touch; more than there are entries. */
  readonly parts: () => number;
  /** Entries that may be there, heard of by this holder or by the one before. */
  readonly entryCount: () => number;
  /** Whether this process, and no other, may grant now. */
  readonly mayGrant: () => boolean;
}

/** How many entries are in touch is counted anew after this long, in ms. */
const COUNT_EVERY_MS = 50;

/** The quotas of all customers, as the one process keeps them that has the right to. */
export class QuotaBook {
  private readonly buckets = new Map<CustomerId, SharedBucket>();

  /** When each entry was last heard of. */
  private readonly heardAtMs = new Map<HostId, Ms>();

  private access: AccessTable | undefined;

  /** Before then entries that this holder has not heard of may go by their own share. */
  private knowsAllFromMs: Ms = 0;

  private inTouch = 0;

  private silent = 0;

  private countedAtMs: Ms = -Infinity;

  constructor(private readonly options: QuotaBookOptions) {}

  /** This process takes the right over: what the one before knew is gone with it. */
  took(isFirst: boolean): void {
    const nowMs = this.options.clock.nowMs();
    this.buckets.clear();
    this.heardAtMs.clear();
    this.countedAtMs = -Infinity;
    this.knowsAllFromMs = isFirst ? nowMs : nowMs + quotaLimits.forgetMs;
    this.limit(this.access);
  }

  /** To be called several times a second: buckets fill also while nobody asks. */
  tick(): void {
    if (!this.options.mayGrant()) return;
    const nowMs = this.options.clock.nowMs();
    const inflow = this.inflow(nowMs);
    for (const bucket of this.buckets.values()) bucket.fill(nowMs, inflow);
  }

  /** False while entries that only the holder before has heard may go by their own share. */
  knowsAll(): boolean {
    return this.options.clock.nowMs() >= this.knowsAllFromMs;
  }

  limit(access: AccessTable | undefined): void {
    this.access = access;
    const { terms, clock } = this.options;
    for (const id of [...this.buckets.keys()]) {
      if (!access?.customers.get(id)?.quota) this.buckets.delete(id);
    }
    for (const { id, quota } of access?.customers.values() ?? []) {
      const bucket = this.buckets.get(id);
      if (bucket && quota) bucket.limit(quota);
      else if (quota) this.buckets.set(id, new SharedBucket(quota, terms, clock.nowMs()));
    }
  }

  /** Answers an entry's report; undefined if another holds the quotas. */
  report(entry: HostId, { customers }: QuotaReport): QuotaAnswer | undefined {
    if (!this.options.mayGrant()) return undefined;
    const nowMs = this.options.clock.nowMs();
    this.heardAtMs.set(entry, nowMs);
    const told = new Map(customers.map((one) => [one.customer, one]));
    for (const [id, bucket] of this.buckets) {
      if (!told.has(id)) bucket.onReport(entry, 0, 0, 0);
    }
    const grants: QuotaAnswer['grants'][number][] = [];
    for (const { customer, wanted, held, returned } of customers) {
      const bucket = this.filled(customer, nowMs);
      if (!bucket) continue;
      bucket.onReport(entry, held, returned, wanted);
      const granted = bucket.prefetch(entry, this.inTouch);
      const isEmpty = bucket.isEmpty();
      const retryAfterMs = Math.round(bucket.retryAfterMs());
      if (granted > 0 || isEmpty) grants.push({ customer, granted, isEmpty, retryAfterMs });
    }
    return { parts: this.options.parts(), grants };
  }

  draw({ entry, customer, missing, cost }: DrawQuestion): DrawAnswer {
    const bucket = this.options.mayGrant() && this.filled(customer, this.options.clock.nowMs());
    if (!bucket) return { type: 'not-holder' };
    const granted = bucket.draw(entry, missing, cost);
    if (granted > 0) return { type: 'granted', granted };
    return { type: 'empty', retryAfterMs: Math.round(bucket.retryAfterMs()) };
  }

  /** What is left of a customer's limit for all entries; undefined at another than the holder. */
  leftOf(customer: CustomerId): number | undefined {
    return this.options.mayGrant() ? this.buckets.get(customer)?.left : undefined;
  }

  private filled(customer: CustomerId, nowMs: Ms): SharedBucket | undefined {
    const bucket = this.buckets.get(customer);
    bucket?.fill(nowMs, this.inflow(nowMs));
    return bucket;
  }

  /** Entries out of touch may fill their own buckets: that much less flows into the shared one. */
  private inflow(nowMs: Ms): { readonly share: number; readonly away: number } {
    if (nowMs - this.countedAtMs >= COUNT_EVERY_MS) this.count(nowMs);
    const parts = this.options.parts();
    const unheard = this.knowsAll() ? this.silent : this.options.entryCount() - this.inTouch;
    const away = Math.min(1, Math.max(0, unheard) / parts);
    return { share: 1 - away, away };
  }

  private count(nowMs: Ms): void {
    this.countedAtMs = nowMs;
    this.inTouch = 0;
    this.silent = 0;
    for (const [entry, heardAtMs] of this.heardAtMs) {
      const silentMs = nowMs - heardAtMs;
      if (silentMs > quotaLimits.forgetMs) this.forget(entry);
      else if (silentMs > quotaLimits.presumedIsolatedAfterMs) this.silent += 1;
      else this.inTouch += 1;
    }
  }

  private forget(entry: HostId): void {
    this.heardAtMs.delete(entry);
    for (const bucket of this.buckets.values()) bucket.removeEntry(entry);
  }
}
