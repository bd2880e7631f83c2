import type { Result } from 'ts-results';
import { result } from '../base/index.js';
import type { Customer } from '../core/document/index.js';
import { refuse } from '../core/refusal/index.js';
import type { Refusal } from '../wire/index.js';
import type { EntryLimits } from './entrylimits.js';

/** When callers that were refused for this entry's sake may come back: others are free at once. */
const RETRY_AFTER_MS = 1000;

/** Counts what is in flight, in all and for each customer, and refuses what is too much. */
export class Gate {
  private total = 0;

  private leaving = false;

  private readonly perCustomer = new Map<string, number>();

  private whenIdle: (() => void) | undefined;

  constructor(private readonly limits: EntryLimits) {}

  /** The returned function gives the place back, once. */
  enter(service: string, { id, inFlightLimit }: Customer): Result<() => void, Refusal> {
    const key = `${service}/${id}`;
    const own = this.perCustomer.get(key) ?? 0;
    const refusal = this.check(own, inFlightLimit ?? this.limits.inFlightPerCustomer);
    if (refusal) return result.Err(refusal);
    this.total += 1;
    this.perCustomer.set(key, own + 1);
    return result.Ok(() => this.leave(key));
  }

  inFlight(): number {
    return this.total;
  }

  ready(): boolean {
    return !this.leaving;
  }

  /** Refuses new work from now on; resolves when nothing is in flight. */
  close(): Promise<void> {
    this.leaving = true;
    if (this.total === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.whenIdle = resolve;
    });
  }

  private check(own: number, ownLimit: number): Refusal | undefined {
    const options = { retryAfterMs: RETRY_AFTER_MS };
    if (this.leaving) return refuse('entry-leaving', 'This entry takes no new work.', options);
    if (own >= ownLimit) {
      return refuse('customer-limit', `This customer has ${own} requests in flight.`, options);
    }
    if (this.total < this.limits.inFlight) return undefined;
    return refuse('entry-full', `This entry has ${this.total} requests in flight.`, options);
  }

  private leave(key: string): void {
    const own = (this.perCustomer.get(key) ?? 1) - 1;
    if (own > 0) this.perCustomer.set(key, own);
    else this.perCustomer.delete(key);
    this.total -= 1;
    if (this.total === 0) this.whenIdle?.();
  }
}
