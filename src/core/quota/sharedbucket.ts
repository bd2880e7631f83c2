import type { HostId, Ms } from '../../base/index.js';
import type { Quota } from '../access/index.js';
import { capacityOf } from './capacityof.js';
import { quotaLimits } from './quotalimits.js';
import type { QuotaTerms } from './quotaterms.js';

const MS_PER_S = 1000;
/** Weight of the newest request in the average cost. */
const COST_WEIGHT = 0.05;

/** How much of the rate flows into the shared bucket, and how much of its capacity isolated entries may hold. */
interface Inflow {
  /** Fraction of the rate that flows into the shared bucket, from 0 to 1. */
  readonly share: number;
  /** Fraction of the capacity that entries without contact to the holder may hold. */
  readonly away: number;
}

/** The order lease holder's bucket of one customer's quota, shared by all entries. */
export class SharedBucket {
  private level = 0;

  private quota: Quota;

  private capacity: number;

  /** What each entry was granted and has not reported as spent. */
  private readonly held = new Map<HostId, number>();

  private heldSum = 0;

  /** Demand at each entry between its last two reports. */
  private readonly wanted = new Map<HostId, number>();

  private wantedSum = 0;

  private averageCost = 0;

  /** Cost of the refused requests that were given a retry-after time. */
  private owed = 0;

  constructor(
    quota: Quota,
    private readonly terms: QuotaTerms,
    private filledAtMs: Ms,
  ) {
    this.quota = quota;
    this.capacity = capacityOf(quota, terms);
  }

  /** Applies a new quota; a lower limit applies at once to what is granted from now on. */
  limit(quota: Quota): void {
    this.quota = quota;
    this.capacity = capacityOf(quota, this.terms);
  }

  /** Adds the inflow since the last call; must be called before anything is read or taken. */
  fill(nowMs: Ms, { share, away }: Inflow): void {
    const { ratePerS } = this.quota;
    // After a stall of this process, entries may have filled their own buckets meanwhile: the inflow is capped.
    const elapsedMs = Math.min(nowMs - this.filledAtMs, quotaLimits.isolatedAfterMs);
    this.filledAtMs = nowMs;
    const room = Math.max(0, this.capacity * (1 - away) - this.heldSum);
    const inflow = (elapsedMs * ratePerS * share) / MS_PER_S;
    this.level = Math.min(room, this.level + inflow);
    this.owed = Math.max(0, this.owed - (elapsedMs * ratePerS) / MS_PER_S);
  }

  /** Applies an entry's report: what it holds, what it returns, and its demand. */
  onReport(entry: HostId, held: number, returned: number, wanted: number): void {
    this.setHeld(entry, held);
    this.level += returned;
    this.wantedSum += wanted - (this.wanted.get(entry) ?? 0);
    if (wanted > 0) this.wanted.set(entry, wanted);
    else this.wanted.delete(entry);
  }

  /** Removes an entry that no longer exists; what it held was spent or never will be. */
  removeEntry(entry: HostId): void {
    this.onReport(entry, 0, 0, 0);
  }

  /** Grants tokens in advance with the answer to a report, so that most requests need not ask the holder. */
  prefetch(entry: HostId, entryCount: number): number {
    const wanted = this.wanted.get(entry) ?? 0;
    if (wanted === 0) return 0;
    const held = this.held.get(entry) ?? 0;
    if (!this.allowsPrefetch(entryCount)) {
      const missing = quotaLimits.prefetchRequests * this.averageCost - held;
      const spare = Math.min(missing, this.spare());
      return spare > 0 ? this.grant(entry, spare) : 0;
    }
    const missing = quotaLimits.prefetchShare * wanted + this.averageCost - held;
    const byDemand = (this.level * wanted) / this.wantedSum;
    const granted = Math.min(missing, Math.max(byDemand, this.level - this.capacity / 2));
    return granted > 0 ? this.grant(entry, granted) : 0;
  }

  /** Grants one request that an entry could not serve from its own bucket; returns 0 if there is too little. */
  draw(entry: HostId, missing: number, cost: number): number {
    this.averageCost += (cost - this.averageCost) * (this.averageCost === 0 ? 1 : COST_WEIGHT);
    if (this.level < missing) {
      this.owed += cost;
      return 0;
    }
    this.grant(entry, missing);
    // If the level is high, grants one more request in advance.
    const extra = Math.max(0, Math.min(this.averageCost, this.spare()));
    return missing + this.grant(entry, extra);
  }

  /** True while too little is left for an average request. */
  isEmpty(): boolean {
    return this.level < this.averageCost;
  }

  /** Returns the time until the refused requests will have been served. */
  retryAfterMs(): Ms {
    const missing = Math.max(0, this.owed - this.level);
    const afterMs = (missing / this.quota.ratePerS) * MS_PER_S;
    return Math.min(quotaLimits.maxRetryAfterMs, afterMs);
  }

  /** Current level, shown to operators. */
  get left(): number {
    return this.level;
  }

  /**
   * Returns what entries may hold unused: the amount by which the bucket exceeds the burst, so that a customer that is
   * refused has received its whole limit.
   */
  private spare(): number {
    const excess = this.capacity - this.quota.burst - this.heldSum;
    return Math.min(excess, this.level - this.capacity / 2);
  }

  /** True if half of the bucket is enough for a few requests at each entry, so that demand-based grants make sense. */
  private allowsPrefetch(entryCount: number): boolean {
    const perEntry = this.capacity / 2 / Math.max(1, entryCount);
    return perEntry >= quotaLimits.minRequestsPerEntry * this.averageCost;
  }

  private grant(entry: HostId, amount: number): number {
    this.level -= amount;
    this.setHeld(entry, (this.held.get(entry) ?? 0) + amount);
    return amount;
  }

  private setHeld(entry: HostId, held: number): void {
    this.heldSum += held - (this.held.get(entry) ?? 0);
    if (held > 0) this.held.set(entry, held);
    else this.held.delete(entry);
  }
}
