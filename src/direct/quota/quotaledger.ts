import type { Clock, CustomerId, HostId, Ms } from '../../base/index.js';
import type { AccessTable } from '../../core/access/index.js';
import { quotaLimits, SharedBucket, type QuotaTerms } from '../../core/quota/index.js';
import type { DrawAnswer } from './drawanswer.js';
import type { DrawRequest } from './drawrequest.js';
import type { QuotaAnswer } from './quotaanswer.js';
import type { QuotaReport } from './quotareport.js';

interface QuotaLedgerOptions {
  readonly clock: Clock;
  readonly terms: QuotaTerms;
  /** Number of equal parts of a rate, of which an entry without contact uses one; more than there are entries. */
  readonly parts: () => number;
  /** Number of entries that may exist, as known to this holder or the previous one. */
  readonly entryCount: () => number;
  /** True while this process, and no other, may grant quota. */
  readonly mayGrant: () => boolean;
}

/** Interval between counts of the entries in contact. */
const COUNT_INTERVAL_MS = 50;

/** The quotas of all customers, kept by the one process that holds the lease for them. */
export class QuotaLedger {
  private readonly buckets = new Map<CustomerId, SharedBucket>();

  /** When each entry last reported. */
  private readonly reportedAtMs = new Map<HostId, Ms>();

  private access: AccessTable | undefined;

  /** Until then, entries that have not reported to this holder may be using their own part of the rates. */
  private knowsAllFromMs: Ms = 0;

  private connectedCount = 0;

  private silentCount = 0;

  private countedAtMs: Ms = -Infinity;

  constructor(private readonly options: QuotaLedgerOptions) {}

  /** Starts anew as the holder: the previous holder's state is lost. */
  takeOver(isFirst: boolean): void {
    const nowMs = this.options.clock.nowMs();
    this.buckets.clear();
    this.reportedAtMs.clear();
    this.countedAtMs = -Infinity;
    this.knowsAllFromMs = isFirst ? nowMs : nowMs + quotaLimits.forgetMs;
    this.limit(this.access);
  }

  /** Has to be called several times per second: buckets fill also while no entry asks. */
  tick(): void {
    if (!this.options.mayGrant()) return;
    const nowMs = this.options.clock.nowMs();
    const inflow = this.inflow(nowMs);
    for (const bucket of this.buckets.values()) bucket.fill(nowMs, inflow);
  }

  /** Returns false while entries known only to the previous holder may be using their own part of the rates. */
  knowsAllEntries(): boolean {
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

  /** Answers an entry's report; undefined if this process does not hold the quotas. */
  report(entry: HostId, { customers }: QuotaReport): QuotaAnswer | undefined {
    if (!this.options.mayGrant()) return undefined;
    const nowMs = this.options.clock.nowMs();
    this.reportedAtMs.set(entry, nowMs);
    const reports = new Map(customers.map((report) => [report.customer, report]));
    for (const [id, bucket] of this.buckets) {
      if (!reports.has(id)) bucket.onReport(entry, 0, 0, 0);
    }
    const grants: QuotaAnswer['grants'][number][] = [];
    for (const { customer, wanted, held, returned } of customers) {
      const bucket = this.filled(customer, nowMs);
      if (!bucket) continue;
      bucket.onReport(entry, held, returned, wanted);
      const granted = bucket.prefetch(entry, this.connectedCount);
      const isEmpty = bucket.isEmpty();
      const retryAfterMs = Math.round(bucket.retryAfterMs());
      if (granted > 0 || isEmpty) grants.push({ customer, granted, isEmpty, retryAfterMs });
    }
    return { parts: this.options.parts(), grants };
  }

  /** Grants what a request lacks, as far as the customer's quota allows. */
  draw({ entry, customer, missing, cost }: DrawRequest): DrawAnswer {
    const bucket = this.options.mayGrant() && this.filled(customer, this.options.clock.nowMs());
    if (!bucket) return { type: 'not-holder' };
    const granted = bucket.draw(entry, missing, cost);
    if (granted > 0) return { type: 'granted', granted };
    return { type: 'empty', retryAfterMs: Math.round(bucket.retryAfterMs()) };
  }

  /** Returns what is left of a customer's quota for all entries; undefined if this process is not the holder. */
  remaining(customer: CustomerId): number | undefined {
    return this.options.mayGrant() ? this.buckets.get(customer)?.left : undefined;
  }

  private filled(customer: CustomerId, nowMs: Ms): SharedBucket | undefined {
    const bucket = this.buckets.get(customer);
    bucket?.fill(nowMs, this.inflow(nowMs));
    return bucket;
  }

  /** Entries without contact may fill their own buckets; the shared bucket receives that much less. */
  private inflow(nowMs: Ms): { readonly share: number; readonly away: number } {
    if (nowMs - this.countedAtMs >= COUNT_INTERVAL_MS) this.count(nowMs);
    const parts = this.options.parts();
    const missingCount = this.knowsAllEntries()
      ? this.silentCount
      : this.options.entryCount() - this.connectedCount;
    const away = Math.min(1, Math.max(0, missingCount) / parts);
    return { share: 1 - away, away };
  }

  private count(nowMs: Ms): void {
    this.countedAtMs = nowMs;
    this.connectedCount = 0;
    this.silentCount = 0;
    for (const [entry, reportedAtMs] of this.reportedAtMs) {
      const silentMs = nowMs - reportedAtMs;
      if (silentMs > quotaLimits.forgetMs) this.forget(entry);
      else if (silentMs > quotaLimits.presumedIsolatedAfterMs) this.silentCount += 1;
      else this.connectedCount += 1;
    }
  }

  private forget(entry: HostId): void {
    this.reportedAtMs.delete(entry);
    for (const bucket of this.buckets.values()) bucket.removeEntry(entry);
  }
}
