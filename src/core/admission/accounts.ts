import type { Ms } from '../../base/index.js';
import type { Account } from './account.js';
import type { AdmissionPolicy } from './admissionpolicy.js';
import { Inflow } from './inflow.js';

/** Shares are counted over such a time: a burst is not yet an excess. */
const MEMORY_MS = 10_000;
/** What remains of the queue beside a customer's share: it may fill so much of that as well. */
const QUEUE_PART_OF_OTHERS = 0.5;

/** How customers are compared; the lowest goes first. */
type Compare = (account: Account) => number;

/** What each customer uses of this upstream, against its share. */
export class Accounts {
  private readonly accounts = new Map<string, Account>();

  private parts: ReadonlyMap<string, number> = new Map();

  private leastPart = 1;

  configure({ customers }: AdmissionPolicy): void {
    const sum = customers.reduce((total, { share }) => total + share, 0);
    this.parts = new Map<string, number>(customers.map(({ id, share }) => [id, share / sum]));
    this.leastPart = Math.min(1, ...this.parts.values());
    for (const [customer, account] of this.accounts) account.part = this.partOf(customer);
  }

  of(customer: string): Account {
    const account = this.accounts.get(customer) ?? {
      part: this.partOf(customer),
      waiting: 0,
      used: {
        within: new Inflow(MEMORY_MS),
        beyond: new Inflow(MEMORY_MS),
        background: new Inflow(MEMORY_MS),
      },
    };
    this.accounts.set(customer, account);
    return account;
  }

  /** Whether a customer has used less than its share of so many places lately. */
  isWithin(customer: string, limit: number, nowMs: Ms): boolean {
    const { part, used } = this.of(customer);
    return used.within.at(nowMs) < part * limit;
  }

  /** The customer that has used least of its share, if it has not used it up. */
  nextWithin(customers: Iterable<string>, limit: number, nowMs: Ms): string | undefined {
    return this.least(customers, ({ part, used }) => used.within.at(nowMs) / part, limit);
  }

  /** The customer that has had least beyond its share: all count alike there. */
  nextBeyond(customers: Iterable<string>, nowMs: Ms): string | undefined {
    return this.least(customers, ({ used }) => used.beyond.at(nowMs));
  }

  /** The customer that has had least background work, against its share. */
  nextBackground(customers: Iterable<string>, nowMs: Ms): string | undefined {
    return this.least(customers, ({ part, used }) => used.background.at(nowMs) / part);
  }

  /** Requests of one customer that may wait here. */
  queueLimit(customer: string, queueLimit: number): number {
    const { part } = this.of(customer);
    return queueLimit * (part + (1 - part) * QUEUE_PART_OF_OTHERS);
  }

  private least(
    customers: Iterable<string>,
    compare: Compare,
    below = Infinity,
  ): string | undefined {
    let least: string | undefined;
    let leastValue = below;
    for (const customer of customers) {
      const value = compare(this.of(customer));
      if (value >= leastValue) continue;
      least = customer;
      leastValue = value;
    }
    return least;
  }

  private partOf(customer: string): number {
    return this.parts.get(customer) ?? this.leastPart;
  }
}
