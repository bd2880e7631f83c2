import type { Clock, Ms } from '../../base/index.js';
import type { CustomerSpec } from '../../core/access/index.js';
import { costOf, quotaLimits } from '../../core/quota/index.js';
import type { QuotaDesk } from './quotadesk.js';
import type { Taken } from './taken.js';

const PAID: Taken = { type: 'paid' };

/** What one request has taken from its customer's quota: once for each run, and back for what never ran. */
export class Charge {
  readonly cost: number;

  /** Runs that are paid for. */
  private paidCount = 0;

  private paidAtMs: Ms = 0;

  private isSettled = false;

  constructor(
    private readonly desk: QuotaDesk,
    private readonly clock: Clock,
    readonly customer: CustomerSpec | undefined,
    tokens: number | undefined,
  ) {
    this.cost = customer?.quota ? costOf(customer.quota, tokens) : 0;
    if (customer?.quota) desk.want(customer.id, this.cost);
  }

  /** Whether one more run after so many may be sent now. */
  covers(ranCount: number): boolean {
    if (!this.customer?.quota) return true;
    const isFresh = this.clock.nowMs() - this.paidAtMs <= quotaLimits.chargeValidMs;
    return this.paidCount > ranCount && isFresh;
  }

  /** Pays for one more run after so many, from what lies here or by asking the holder. */
  pay(ranCount: number): Taken | Promise<Taken> {
    const { customer, desk, cost } = this;
    if (!customer?.quota || this.isSettled) return PAID;
    // What was paid long ago for a run that has not begun counts in a window that is over.
    this.refund(ranCount);
    const taken = desk.take(customer, cost);
    if (taken) return this.note(taken);
    return desk.ask(customer, cost).then((said) => this.note(said));
  }

  /** The request is over after so many runs that were, or may have been, begun. */
  settle(ranCount: number): void {
    if (this.isSettled) return;
    this.refund(ranCount);
    this.isSettled = true;
  }

  private note(taken: Taken): Taken {
    if (taken.type !== 'paid') return taken;
    this.paidCount += 1;
    this.paidAtMs = this.clock.nowMs();
    // Its request ended while the holder was asked.
    if (this.isSettled) this.refund(this.paidCount - 1);
    return taken;
  }

  private refund(ranCount: number): void {
    const unused = this.paidCount - ranCount;
    if (unused <= 0 || !this.customer?.quota) return;
    this.paidCount = ranCount;
    this.desk.giveBack(this.customer.id, unused * this.cost);
  }
}
