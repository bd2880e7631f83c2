import type { Clock, CustomerId, HostId, Ms } from '../../base/index.js';
import type { CustomerSpec, Quota } from '../../core/access/index.js';
import { LocalBucket, quotaLimits, type QuotaTerms } from '../../core/quota/index.js';
import type { DrawAnswer } from './drawanswer.js';
import type { DrawRequest } from './drawrequest.js';
import type { QuotaAnswer } from './quotaanswer.js';
import type { QuotaReport } from './quotareport.js';
import type { PaymentResult } from './paymentresult.js';

interface QuotaClientOptions {
  readonly entry: HostId;
  readonly clock: Clock;
  readonly terms: QuotaTerms;
  /** Number of equal parts of a rate, used until a holder has sent its own number. */
  readonly parts: () => number;
  /** Asks the holder for quota; undefined without an answer. */
  readonly draw: (request: DrawRequest) => Promise<DrawAnswer | undefined>;
}

const PAID: PaymentResult = { type: 'paid' };
/** An entry that does not know the quota sends its callers to another entry, which may have contact to the holder. */
const UNKNOWN_RETRY_MS = 250;

/**
 * What this entry may run for each customer. Most requests are paid from what the holder granted in advance; for the
 * others the holder is asked. Without contact to the holder, the entry uses a fixed part of each rate, which the
 * holder keeps out of its own grants meanwhile.
 */
export class QuotaClient {
  private readonly buckets = new Map<CustomerId, LocalBucket>();

  private readonly refusedCounts = new Map<CustomerId, number>();

  /** Send time of the last message that the holder answered; before the first, the start of this process. */
  private answeredAtMs: Ms;

  private holderParts: number | undefined;

  constructor(private readonly options: QuotaClientOptions) {
    this.answeredAtMs = options.clock.nowMs();
  }

  addDemand(customer: CustomerId, cost: number): void {
    this.bucket(customer).recordDemand(cost);
  }

  /** Takes the cost from the local bucket; undefined if the holder has to be asked. */
  take({ id, quota }: CustomerSpec, cost: number): PaymentResult | undefined {
    const bucket = this.filled(id, quota!);
    if (bucket.take(cost)) return PAID;
    const nowMs = this.options.clock.nowMs();
    if (this.isOutOfContact(nowMs)) return this.refuse(id, this.unknown(bucket));
    return bucket.isBackingOff(nowMs)
      ? this.refuse(id, this.over(bucket, quota!, cost))
      : undefined;
  }

  /** Takes the cost, with what the local bucket lacks drawn from the holder. */
  async ask({ id, quota }: CustomerSpec, cost: number): Promise<PaymentResult> {
    const { clock, draw, entry } = this.options;
    const sentAtMs = clock.nowMs();
    const own = this.bucket(id).takeAll();
    const answer = await draw({ entry, customer: id, missing: cost - own, cost });
    const bucket = this.filled(id, quota!);
    if (answer && answer.type !== 'not-holder') this.noteContact(sentAtMs);
    bucket.deposit(own + (answer?.type === 'granted' ? answer.granted : 0));
    if (bucket.take(cost)) return PAID;
    if (answer?.type !== 'empty') return this.refuse(id, this.unknown(bucket));
    bucket.onRefused(answer.retryAfterMs, quotaLimits.refusalBackoffMs, clock.nowMs());
    return this.refuse(id, this.over(bucket, quota!, 0));
  }

  /** Refunds the payment for a run that was not begun. */
  refund(customer: CustomerId, amount: number): void {
    this.bucket(customer).deposit(amount);
  }

  /** Returns the report for the holder, without customers that neither want nor hold anything. */
  report(): QuotaReport {
    const customers: QuotaReport['customers'][number][] = [];
    for (const [customer, bucket] of this.buckets) {
      const report = bucket.report();
      const hasContent = report.wanted > 0 || report.held > 0 || report.returned > 0;
      if (hasContent) customers.push({ customer, ...report });
    }
    return { customers };
  }

  /** Applies the holder's answer to the report sent at `sentAtMs`. */
  answered({ parts, grants }: QuotaAnswer, sentAtMs: Ms): void {
    const nowMs = this.options.clock.nowMs();
    this.holderParts = parts;
    this.noteContact(sentAtMs);
    for (const { customer, granted, isEmpty, retryAfterMs } of grants) {
      const bucket = this.bucket(customer);
      bucket.deposit(granted);
      if (isEmpty) bucket.onRefused(retryAfterMs, quotaLimits.refusalBackoffMs, nowMs);
    }
  }

  /** Returns what this entry may use for a customer without asking, and how many of its requests it has refused. */
  stateOf(customer: CustomerId): { readonly held: number; readonly refusedCount: number } {
    const held = this.buckets.get(customer)?.level ?? 0;
    return { held, refusedCount: this.refusedCounts.get(customer) ?? 0 };
  }

  /** Returns the time since the last known contact with the holder. */
  ageMs(): Ms {
    return this.options.clock.nowMs() - this.answeredAtMs;
  }

  private noteContact(sentAtMs: Ms): void {
    this.answeredAtMs = Math.max(this.answeredAtMs, sentAtMs);
  }

  private isOutOfContact(nowMs: Ms): boolean {
    return nowMs - this.answeredAtMs > quotaLimits.isolatedAfterMs;
  }

  private filled(id: CustomerId, quota: Quota): LocalBucket {
    const bucket = this.bucket(id);
    const { terms, clock, parts } = this.options;
    const { isolatedAfterMs: aloneAfterMs, isolatedForMs: aloneForMs } = quotaLimits;
    const alone = {
      fromMs: this.answeredAtMs + aloneAfterMs,
      untilMs: this.answeredAtMs + aloneForMs,
      parts: this.holderParts ?? parts(),
    };
    bucket.fill(quota, terms, alone, clock.nowMs());
    return bucket;
  }

  private bucket(id: CustomerId): LocalBucket {
    let bucket = this.buckets.get(id);
    if (!bucket) {
      bucket = new LocalBucket();
      this.buckets.set(id, bucket);
    }
    return bucket;
  }

  private refuse(customer: CustomerId, taken: PaymentResult): PaymentResult {
    this.refusedCounts.set(customer, (this.refusedCounts.get(customer) ?? 0) + 1);
    return taken;
  }

  private over(bucket: LocalBucket, quota: Quota, cost: number): PaymentResult {
    const retryAfterMs = bucket.retryAfterMs(cost, quota, this.options.clock.nowMs());
    const { level: left } = bucket;
    return { type: 'refused', reason: 'over', retryAfterMs, left, ageMs: this.ageMs() };
  }

  private unknown({ level: left }: LocalBucket): PaymentResult {
    const ageMs = this.ageMs();
    return { type: 'refused', reason: 'unknown', retryAfterMs: UNKNOWN_RETRY_MS, left, ageMs };
  }
}
