import type { Result } from 'ts-results';
import { result, type Ms } from '../../base/index.js';
import { sharedLease } from '../../core/idempotency/index.js';
import type { StoreFailure } from '../../port/index.js';
import type { Context } from '../component/index.js';

/** A store lease under which key mappings are written. */
interface Lease {
  readonly leaseId: string;
  readonly askedAtMs: Ms;
  readonly ttlMs: Ms;
}

/** Store leases that this entry's key mappings share: one per ticket lifetime, replaced by a new one in time. */
export class SharedLeases {
  private readonly held = new Map<Ms, Promise<Result<Lease, StoreFailure>>>();

  constructor(private readonly ports: Pick<Context, 'store' | 'clock'>) {}

  /** Returns a lease that outlives all that a request which arrived at `arrivedAtMs` may cause. */
  async leaseFor(arrivedAtMs: Ms, ticketValidMs: Ms): Promise<Result<string, StoreFailure>> {
    const last = this.held.get(ticketValidMs);
    const known = await last;
    if (known?.ok && sharedLease.covers(known.val, arrivedAtMs, ticketValidMs)) {
      return result.Ok(known.val.leaseId);
    }
    // Requests that waited for the same lease share one call for the next.
    const current = this.held.get(ticketValidMs);
    const next = current && current !== last ? current : this.ask(ticketValidMs);
    this.held.set(ticketValidMs, next);
    return (await next).map(({ leaseId }) => leaseId);
  }

  /** Forgets a lease that the store no longer knows. */
  discard(ticketValidMs: Ms): void {
    this.held.delete(ticketValidMs);
  }

  private async ask(ticketValidMs: Ms): Promise<Result<Lease, StoreFailure>> {
    const askedAtMs = this.ports.clock.nowMs();
    const ttlMs = sharedLease.ttlMs(ticketValidMs);
    const granted = await this.ports.store.grantLease(ttlMs);
    return granted.map((leaseId) => ({ leaseId, askedAtMs, ttlMs }));
  }
}
