import type { Result } from 'ts-results';
import { result, type Ms } from '../../base/index.js';
import { sharedLease } from '../../core/idempotency/index.js';
import type { StoreFailure } from '../../port/index.js';
import type { Context } from '../part/index.js';

/** A lease under which keys are mapped. */
interface Held {
  readonly leaseId: string;
  readonly askedAtMs: Ms;
  readonly ttlMs: Ms;
}

/** Leases of this entry's mappings: one for each length of a ticket's life, renewed by a fresh one. */
export class Leases {
  private readonly held = new Map<Ms, Promise<Result<Held, StoreFailure>>>();

  constructor(private readonly ports: Pick<Context, 'store' | 'clock'>) {}

  /** A lease that outlives what a request that arrived then may cause. */
  async covering(arrivedAtMs: Ms, ticketValidMs: Ms): Promise<Result<string, StoreFailure>> {
    const last = this.held.get(ticketValidMs);
    const known = await last;
    if (known?.ok && sharedLease.covers(known.val, arrivedAtMs, ticketValidMs)) {
      return result.Ok(known.val.leaseId);
    }
    // Requests that waited together ask together.
    const asked = this.held.get(ticketValidMs);
    const fresh = asked && asked !== last ? asked : this.ask(ticketValidMs);
    this.held.set(ticketValidMs, fresh);
    return (await fresh).map(({ leaseId }) => leaseId);
  }

  /** Forgets a lease that the store no longer knows. */
  forget(ticketValidMs: Ms): void {
    this.held.delete(ticketValidMs);
  }

  private async ask(ticketValidMs: Ms): Promise<Result<Held, StoreFailure>> {
    const askedAtMs = this.ports.clock.nowMs();
    const ttlMs = sharedLease.ttlMs(ticketValidMs);
    const granted = await this.ports.store.grantLease(ttlMs);
    return granted.map((leaseId) => ({ leaseId, askedAtMs, ttlMs }));
  }
}
