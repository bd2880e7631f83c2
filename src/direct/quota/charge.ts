import type { Clock, Ms } from '../../base/index.js';
import type { CustomerSpec } from '../../core/access/index.js';
import { costOf, quotaLimits } from '../../core/quota/index.js';
import type { QuotaClient } from './quotaclient.js';
import type { PaymentResult } from './paymentresult.js';

const PAID: PaymentResult = { type: 'paid' };

/** What one request has taken from its customer's quota: one payment for each run, with a refund for runs not begun. */
export class Charge {
  readonly cost: number;

  /** Number of runs that are paid for. */
  private paidCount = 0;

  private paidAtMs: Ms = 0;

  private isSettled = false;

  constructor(
    private readonly client: QuotaClient,
    private readonly clock: Clock,
    readonly customer: CustomerSpec | undefined,
    tokens: number | undefined,
  ) {
    this.cost = customer?.quota ? costOf(customer.quota, tokens) : 0;
    if (customer?.quota) client.addDemand(customer.id, this.cost);
  }

  /** Returns true if one more run after `ranCount` runs is paid for and may be sent now. */
  covers(ranCount: number): boolean {
    if (!this.customer?.quota) return true;
    const isFresh = this.clock.nowMs() - this.paidAtMs <= quotaLimits.chargeValidMs;
    return this.paidCount > ranCount && isFresh;
  }

  /** Pays for one more run after `ranCount` runs, from the local bucket or by asking the quota holder. */
  pay(ranCount: number): PaymentResult | Promise<PaymentResult> {
    const { customer, client, cost } = this;
    if (!customer?.quota || this.isSettled) return PAID;
    // An old payment for a run that has not begun was charged to a rate window that is over.
    this.refund(ranCount);
    const taken = client.take(customer, cost);
    if (taken) return this.record(taken);
    return client.ask(customer, cost).then((result) => this.record(result));
  }

  /** Ends the charge. `ranCount` runs were begun, or may have been; payments for further runs are refunded. */
  settle(ranCount: number): void {
    if (this.isSettled) return;
    this.refund(ranCount);
    this.isSettled = true;
  }

  private record(taken: PaymentResult): PaymentResult {
    if (taken.type !== 'paid') return taken;
    this.paidCount += 1;
    this.paidAtMs = this.clock.nowMs();
    // The request ended while the holder was asked.
    if (this.isSettled) this.refund(this.paidCount - 1);
    return taken;
  }

  private refund(ranCount: number): void {
    const unused = this.paidCount - ranCount;
    if (unused <= 0 || !this.customer?.quota) return;
    this.paidCount = ranCount;
    this.client.refund(this.customer.id, unused * this.cost);
  }
}
