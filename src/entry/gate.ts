import type { Result } from 'ts-results';
import { result } from '../base/index.js';
import type { Customer } from '../core/document/index.js';
import { refuse } from '../core/refusal/index.js';
import type { Refusal } from '../wire/index.js';
import type { EntryLimits } from './entrylimits.js';

/** Retry-after time of refusals whose cause is this entry alone: other entries may accept the request at once. */
const RETRY_AFTER_MS = 1000;

/** Limits the requests in flight at this entry, in total and per customer, and refuses the excess. */
export class Gate {
  private total = 0;

  private leaving = false;

  private readonly perCustomer = new Map<string, number>();

  private whenIdle: (() => void) | undefined;

  constructor(private readonly limits: EntryLimits) {}

  /** Admits a request or refuses it. The returned function ends its time in flight; it has to be called exactly once. */
  enter(service: string, { id, inFlightLimit }: Customer): Result<() => void, Refusal> {
    const key = `${service}/${id}`;
    const inFlight = this.perCustomer.get(key) ?? 0;
    const refusal = this.check(inFlight, inFlightLimit ?? this.limits.inFlightPerCustomer);
    if (refusal) return result.Err(refusal);
    this.total += 1;
    this.perCustomer.set(key, inFlight + 1);
    return result.Ok(() => this.leave(key));
  }

  inFlight(): number {
    return this.total;
  }

  ready(): boolean {
    return !this.leaving;
  }

  /** Refuses new requests from now on; resolves when none is in flight. */
  close(): Promise<void> {
    this.leaving = true;
    if (this.total === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.whenIdle = resolve;
    });
  }

  private check(inFlight: number, customerLimit: number): Refusal | undefined {
    const options = { retryAfterMs: RETRY_AFTER_MS };
    if (this.leaving) return refuse('entry-leaving', 'This entry takes no new work.', options);
    if (inFlight >= customerLimit) {
      return refuse('customer-limit', `This customer has ${inFlight} requests in flight.`, options);
    }
    if (this.total < this.limits.inFlight) return undefined;
    return refuse('entry-full', `This entry has ${this.total} requests in flight.`, options);
  }

  private leave(key: string): void {
    const inFlight = (this.perCustomer.get(key) ?? 1) - 1;
    if (inFlight > 0) this.perCustomer.set(key, inFlight);
    else this.perCustomer.delete(key);
    this.total -= 1;
    if (this.total === 0) this.whenIdle?.();
  }
}
