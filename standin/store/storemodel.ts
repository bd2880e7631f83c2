import type { Result } from 'ts-results';
import { result, type Ms, type Revision } from '../../src/base/index.js';
import type { KeyValue, StoreFailure, Swap, SwapOutcome } from '../../src/port/index.js';

/** Largest value that the platform's service accepts: 1 MiB. */
const VALUE_LIMIT_BYTES = 1_048_576;

/** A change in the store's history. */
interface StoreEvent {
  readonly key: string;
  readonly revision: Revision;
  /** Absent when the key was deleted. */
  readonly item?: KeyValue;
}

interface Lease {
  readonly ttlMs: Ms;
  readonly lapsesAtMs: Ms;
  readonly keys: ReadonlySet<string>;
}

function lapsed(leaseId: string): StoreFailure {
  return { type: 'store-lease-lapsed', detail: `Lease ${leaseId} has lapsed.` };
}

/**
 * The logic of a key-value store with totally ordered revisions: compare-and-swap, leases, history and compaction.
 * Has no I/O and no clock: times are arguments. Its tables are mutable, because copying them at every write would
 * make long tests quadratic.
 */
export class StoreModel {
  revision = 1 as Revision;

  /** History up to and including this revision has been deleted. */
  compactedRevision = 0 as Revision;

  private readonly items = new Map<string, KeyValue>();

  private readonly leases = new Map<string, Lease>();

  private history: StoreEvent[] = [];

  private leaseCount = 0;

  get(key: string): KeyValue | undefined {
    return this.items.get(key);
  }

  list(prefix: string): { items: readonly KeyValue[]; revision: Revision } {
    const items = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return { items, revision: this.revision };
  }

  swap({ key, value, expectedRevision, leaseId }: Swap): Result<SwapOutcome, StoreFailure> {
    if (value !== undefined && Buffer.byteLength(value) > VALUE_LIMIT_BYTES) {
      return result.Err({ type: 'store-refused', detail: 'The value is larger than a megabyte.' });
    }
    const current = this.items.get(key);
    if ((current?.revision ?? 0) !== expectedRevision) {
      return result.Ok({ type: 'conflict', current });
    }
    if (leaseId && !this.leases.has(leaseId)) return result.Err(lapsed(leaseId));
    if (value === undefined) this.remove(key);
    else this.put(key, value, leaseId);
    return result.Ok({ type: 'swapped', revision: this.revision });
  }

  grantLease(ttlMs: Ms, nowMs: Ms): string {
    this.leaseCount += 1;
    const leaseId = String(this.leaseCount);
    this.leases.set(leaseId, { ttlMs, lapsesAtMs: nowMs + ttlMs, keys: new Set() });
    return leaseId;
  }

  /** Renews a lease and returns its remaining life in ms; 0 if the lease has ended. */
  renewLease(leaseId: string, nowMs: Ms): Ms {
    const lease = this.leases.get(leaseId);
    if (!lease) return 0;
    this.leases.set(leaseId, { ...lease, lapsesAtMs: nowMs + lease.ttlMs });
    return lease.ttlMs;
  }

  /** Ends a lease and deletes its keys, after a revocation or a lapse. */
  endLease(leaseId: string): void {
    const lease = this.leases.get(leaseId);
    if (!lease) return;
    this.leases.delete(leaseId);
    for (const key of lease.keys) this.remove(key);
  }

  /** Ends all leases that have lapsed by `nowMs`. */
  expire(nowMs: Ms): void {
    for (const [leaseId, lease] of this.leases) {
      if (lease.lapsesAtMs <= nowMs) this.endLease(leaseId);
    }
  }

  /** Returns the changes under a prefix after a revision; undefined if some were compacted. */
  eventsAfter(prefix: string, revision: Revision): readonly StoreEvent[] | undefined {
    if (revision < this.compactedRevision) return undefined;
    return this.history.filter(
      (event) => event.revision > revision && event.key.startsWith(prefix),
    );
  }

  /** Deletes the history so far. */
  compact(): void {
    this.compactedRevision = this.revision;
    this.history = [];
  }

  private put(key: string, value: string, leaseId: string | undefined): void {
    this.detachLease(key);
    this.revision = (this.revision + 1) as Revision;
    const item = { key, value, revision: this.revision };
    this.items.set(key, item);
    this.history.push({ key, revision: this.revision, item });
    const lease = leaseId ? this.leases.get(leaseId) : undefined;
    if (!leaseId || !lease) return;
    this.leases.set(leaseId, { ...lease, keys: new Set([...lease.keys, key]) });
  }

  private remove(key: string): void {
    this.detachLease(key);
    if (!this.items.delete(key)) return;
    this.revision = (this.revision + 1) as Revision;
    this.history.push({ key, revision: this.revision });
  }

  /** Detaches the key from its lease: only the last write decides which lease a key belongs to. */
  private detachLease(key: string): void {
    for (const [leaseId, lease] of this.leases) {
      if (!lease.keys.has(key)) continue;
      const keys = new Set(lease.keys);
      keys.delete(key);
      this.leases.set(leaseId, { ...lease, keys });
    }
  }
}
