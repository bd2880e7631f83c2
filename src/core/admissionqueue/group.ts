import type { Ms } from '../../base/index.js';
import { Heap } from '../admission/index.js';
import type { CustomerUsage } from './customerusage.js';
import { DueList } from './duelist.js';
import { queueRules } from './queuerules.js';
import type { Waiting } from './waiting.js';

/** Waiting requests of one customer. */
interface Line {
  readonly customer: string;
  readonly list: DueList;
}

/** Waiting requests of one target that have the same rank and lateness, by customer. */
export class Group {
  private readonly lines = new Map<string, Line>();

  /** Customers by the usage at which they were last placed; a key that has grown since is renewed when it is first. */
  private readonly order = new Heap<Line>();

  private count = 0;

  constructor(private readonly usage: CustomerUsage) {}

  get size(): number {
    return this.count;
  }

  insert(waiting: Waiting): void {
    const { customer } = waiting.request;
    let line = this.lines.get(customer);
    if (!line) {
      line = { customer, list: new DueList() };
      this.lines.set(customer, line);
      this.order.push(this.usage.keyOf(customer), line);
    }
    line.list.insert(waiting);
    this.count += 1;
  }

  remove(waiting: Waiting): void {
    this.lines.get(waiting.request.customer)?.list.remove(waiting);
    this.count -= 1;
  }

  /** Returns the request that is due first of the customer with the least usage. */
  first(): Waiting | undefined {
    for (;;) {
      const line = this.order.peek();
      if (!line) return undefined;
      const key = this.usage.keyOf(line.customer);
      const isEmpty = line.list.size === 0;
      if (!isEmpty && this.order.peekKey() >= key) return line.list.first();
      this.order.pop();
      if (isEmpty) this.lines.delete(line.customer);
      else this.order.push(key, line);
    }
  }

  /** Returns the request that is due last of the customer with the most usage. */
  last(): Waiting | undefined {
    let last: Line | undefined;
    for (const line of this.lines.values()) {
      if (line.list.size === 0) continue;
      const isLater = !last || this.usage.keyOf(line.customer) >= this.usage.keyOf(last.customer);
      if (isLater) last = line;
    }
    return last?.list.last();
  }

  /** Returns true if a request that is not in the group would be the first of it. */
  wouldBeFirst(waiting: Waiting): boolean {
    const first = this.first();
    if (!first) return true;
    const { customer } = waiting.request;
    if (first.request.customer === customer) {
      return this.lines.get(customer)?.list.position(waiting) === 0;
    }
    return this.usage.keyOf(customer) < this.usage.keyOf(first.request.customer);
  }

  /**
   * Returns how many requests are expected to start before one that is in the group or is offered to it: its
   * customer's earlier ones, and those of others until their usage has reached that of its customer.
   */
  expectedAhead(waiting: Waiting, nowMs: Ms): number {
    const { customer } = waiting.request;
    const own = this.lines.get(customer)?.list;
    const ownAhead = own?.position(waiting) ?? 0;
    const level = this.usage.at(customer, nowMs) + ownAhead * (own?.meanTokens ?? 0);
    let ahead = 0;
    let compared = 0;
    for (const { customer: other, list } of this.lines.values()) {
      if (compared >= queueRules.maxCompared) break;
      compared += 1;
      if (other === customer || list.size === 0) continue;
      const gap = level - this.usage.at(other, nowMs);
      const before = Math.ceil(gap / Math.max(1, list.meanTokens));
      ahead += Math.min(list.size, Math.max(0, before));
    }
    const scale = compared === 0 ? 1 : this.lines.size / compared;
    return Math.min(this.count, ownAhead + Math.round(ahead * scale));
  }
}
