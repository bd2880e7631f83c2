import type { Ms } from '../../base/index.js';
import type { Account } from './account.js';
import type { AdmissionPolicy } from './admissionpolicy.js';
import { DecayingRate } from './decayingrate.js';

/** Time constant over which usage is measured, so that a short burst does not count as exceeding the share. */
const TIME_CONSTANT_MS = 10_000;
/** A customer's requests may fill its share of the queue and this fraction of the rest. */
const QUEUE_FRACTION_OF_OTHERS = 0.5;

/** Rank of a customer; the lowest goes first. */
type RankOf = (account: Account) => number;

/** Tracks what each customer uses of this upstream, compared with its share. */
export class Accounts {
  private readonly accounts = new Map<string, Account>();

  private parts: ReadonlyMap<string, number> = new Map();

  private smallestFraction = 1;

  configure({ customers }: AdmissionPolicy): void {
    const sum = customers.reduce((total, { share }) => total + share, 0);
    this.parts = new Map<string, number>(customers.map(({ id, share }) => [id, share / sum]));
    this.smallestFraction = Math.min(1, ...this.parts.values());
    for (const [customer, account] of this.accounts) account.fraction = this.fractionOf(customer);
  }

  of(customer: string): Account {
    const account = this.accounts.get(customer) ?? {
      fraction: this.fractionOf(customer),
      waiting: 0,
      used: {
        within: new DecayingRate(TIME_CONSTANT_MS),
        beyond: new DecayingRate(TIME_CONSTANT_MS),
        background: new DecayingRate(TIME_CONSTANT_MS),
      },
    };
    this.accounts.set(customer, account);
    return account;
  }

  /** True if a customer has recently used less than its share of `limit` slots. */
  isWithinShare(customer: string, limit: number, nowMs: Ms): boolean {
    const { fraction, used } = this.of(customer);
    return used.within.at(nowMs) < fraction * limit;
  }

  /** Returns the customer that has used least of its share, unless all have used theirs up. */
  nextWithinShare(customers: Iterable<string>, limit: number, nowMs: Ms): string | undefined {
    return this.least(customers, ({ fraction, used }) => used.within.at(nowMs) / fraction, limit);
  }

  /** Returns the customer that has received least beyond its share; shares carry no weight here. */
  nextBeyondShare(customers: Iterable<string>, nowMs: Ms): string | undefined {
    return this.least(customers, ({ used }) => used.beyond.at(nowMs));
  }

  /** Returns the customer that has received least background work in proportion to its share. */
  nextBackground(customers: Iterable<string>, nowMs: Ms): string | undefined {
    return this.least(customers, ({ fraction, used }) => used.background.at(nowMs) / fraction);
  }

  /** Returns how many requests of one customer may be queued. */
  queueLimit(customer: string, queueLimit: number): number {
    const { fraction } = this.of(customer);
    return queueLimit * (fraction + (1 - fraction) * QUEUE_FRACTION_OF_OTHERS);
  }

  private least(customers: Iterable<string>, rankOf: RankOf, below = Infinity): string | undefined {
    let least: string | undefined;
    let leastValue = below;
    for (const customer of customers) {
      const value = rankOf(this.of(customer));
      if (value >= leastValue) continue;
      least = customer;
      leastValue = value;
    }
    return least;
  }

  private fractionOf(customer: string): number {
    return this.parts.get(customer) ?? this.smallestFraction;
  }
}
