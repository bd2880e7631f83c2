import type { Clock, CustomerId, HostId, Ms } from '../../base/index.js';
import type { CustomerSpec, Quota } from '../../core/access/index.js';
import { LocalBucket, quotaLimits, type QuotaTerms } from '../../core/quota/index.js';
import type { DrawAnswer } from './drawanswer.js';
import type { DrawQuestion } from './drawquestion.js';
import type { QuotaAnswer } from './quotaanswer.js';
import type { QuotaReport } from './quotareport.js';
import type { Taken } from './taken.js';

/** What an entry's side of the quotas stands on. */
interface QuotaDeskOptions {
  readonly entry: HostId;
  readonly clock: Clock;
  readonly terms: QuotaTerms;
  /** Into how many parts a rate is cut, as long as no holder has said so. */
  readonly parts: () => number;
  /** Asks the holder; undefined without an answer. */
  readonly draw: (question: DrawQuestion) => Promise<DrawAnswer | undefined>;
}

const PAID: Taken = { type: 'paid' };
/** An entry that cannot tell sends its callers to another one, which may be in touch. */
const UNKNOWN_RETRY_MS = 250;

/**
 * What this entry may run for each customer. Most requests are paid from what the holder granted ahead; the others
 * ask it. Without a holder it goes by a fixed part of the rate, which the holder leaves out meanwhile.
 */
export class QuotaDesk {
  private readonly buckets = new Map<CustomerId, LocalBucket>();

  private readonly refusedCounts = new Map<CustomerId, number>();

  /** When the last question was sent that the holder answered; at first, the start of this process. */
  private answeredAtMs: Ms;

  private toldParts: number | undefined;

  constructor(private readonly options: QuotaDeskOptions) {
    this.answeredAtMs = options.clock.nowMs();
  }

  want(customer: CustomerId, cost: number): void {
    this.bucket(customer).recordDemand(cost);
  }

  /** Takes from what lies here; undefined if the holder has to be asked. */
  take({ id, quota }: CustomerSpec, cost: number): Taken | undefined {
    const bucket = this.filled(id, quota!);
    if (bucket.take(cost)) return PAID;
    const nowMs = this.options.clock.nowMs();
    if (this.isAlone(nowMs)) return this.refuse(id, this.unknown(bucket));
    return bucket.isBackingOff(nowMs)
      ? this.refuse(id, this.over(bucket, quota!, cost))
      : undefined;
  }

  /** Asks the holder for what is missing. */
  async ask({ id, quota }: CustomerSpec, cost: number): Promise<Taken> {
    const { clock, draw, entry } = this.options;
    const sentAtMs = clock.nowMs();
    const own = this.bucket(id).takeAll();
    const said = await draw({ entry, customer: id, missing: cost - own, cost });
    const bucket = this.filled(id, quota!);
    if (said && said.type !== 'not-holder') this.heardAt(sentAtMs);
    bucket.deposit(own + (said?.type === 'granted' ? said.granted : 0));
    if (bucket.take(cost)) return PAID;
    if (said?.type !== 'empty') return this.refuse(id, this.unknown(bucket));
    bucket.onRefused(said.retryAfterMs, quotaLimits.refusalBackoffMs, clock.nowMs());
    return this.refuse(id, this.over(bucket, quota!, 0));
  }

  /** A run that was paid for never began. */
  giveBack(customer: CustomerId, amount: number): void {
    this.bucket(customer).deposit(amount);
  }

  /** What the holder is told; customers that neither want nor hold anything are left out. */
  report(): QuotaReport {
    const customers: QuotaReport['customers'][number][] = [];
    for (const [customer, bucket] of this.buckets) {
      const told = bucket.report();
      const isOfNote = told.wanted > 0 || told.held > 0 || told.returned > 0;
      if (isOfNote) customers.push({ customer, ...told });
    }
    return { customers };
  }

  /** The holder has answered the report that was sent then. */
  answered({ parts, grants }: QuotaAnswer, sentAtMs: Ms): void {
    const nowMs = this.options.clock.nowMs();
    this.toldParts = parts;
    this.heardAt(sentAtMs);
    for (const { customer, granted, isEmpty, retryAfterMs } of grants) {
      const bucket = this.bucket(customer);
      bucket.deposit(granted);
      if (isEmpty) bucket.onRefused(retryAfterMs, quotaLimits.refusalBackoffMs, nowMs);
    }
  }

  /** What this entry may run for a customer without asking, and how many requests it has refused for it. */
  stateOf(customer: CustomerId): { readonly held: number; readonly refusedCount: number } {
    const held = this.buckets.get(customer)?.level ?? 0;
    return { held, refusedCount: this.refusedCounts.get(customer) ?? 0 };
  }

  /** How long ago the holder was last known to know of this entry. */
  ageMs(): Ms {
    return this.options.clock.nowMs() - this.answeredAtMs;
  }

  private heardAt(sentAtMs: Ms): void {
    this.answeredAtMs = Math.max(this.answeredAtMs, sentAtMs);
  }

  private isAlone(nowMs: Ms): boolean {
    return nowMs - this.answeredAtMs > quotaLimits.isolatedAfterMs;
  }

  private filled(id: CustomerId, quota: Quota): LocalBucket {
    const bucket = this.bucket(id);
    const { terms, clock, parts } = this.options;
    const { isolatedAfterMs: aloneAfterMs, isolatedForMs: aloneForMs } = quotaLimits;
    const alone = {
      fromMs: this.answeredAtMs + aloneAfterMs,
      untilMs: this.answeredAtMs + aloneForMs,
      parts: this.toldParts ?? parts(),
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

  private refuse(customer: CustomerId, taken: Taken): Taken {
    this.refusedCounts.set(customer, (this.refusedCounts.get(customer) ?? 0) + 1);
    return taken;
  }

  private over(bucket: LocalBucket, quota: Quota, cost: number): Taken {
    const retryAfterMs = bucket.retryAfterMs(cost, quota, this.options.clock.nowMs());
    const { level: left } = bucket;
    return { type: 'refused', reason: 'over', retryAfterMs, left, ageMs: this.ageMs() };
  }

  private unknown({ level: left }: LocalBucket): Taken {
    const ageMs = this.ageMs();
    return { type: 'refused', reason: 'unknown', retryAfterMs: UNKNOWN_RETRY_MS, left, ageMs };
  }
}
