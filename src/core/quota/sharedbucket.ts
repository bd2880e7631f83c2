import type { HostId, Ms } from '../../base/index.js';
import type { Quota } from '../access/index.js';
import { capacityOf } from './capacityof.js';
import { quotaLimits } from './quotalimits.js';
import type { QuotaTerms } from './quotaterms.js';

const MS_PER_S = 1000;
/** Weight of the newest request in the usual cost of one. */
const NEWEST = 0.05;

/** How much of the rate flows into the shared bucket, and what entries out of touch may hold. */
interface Inflow {
  /** Part of the rate, from 0 to 1. */
  readonly share: number;
  /** Part of the capacity that lies, or may lie, with entries out of touch. */
  readonly away: number;
}

/** One customer's quota as the holder keeps it for all entries. */
export class SharedBucket {
  private level = 0;

  private quota: Quota;

  private capacity: number;

  /** What each entry has got and not reported as spent. */
  private readonly held = new Map<HostId, number>();

  private heldSum = 0;

  /** What each entry was asked for between its last two reports. */
  private readonly wanted = new Map<HostId, number>();

  private wantedSum = 0;

  private usualCost = 0;

  /** Tokens of requests that were refused and told when to come back. */
  private promised = 0;

  constructor(
    quota: Quota,
    private readonly terms: QuotaTerms,
    private filledAtMs: Ms,
  ) {
    this.quota = quota;
    this.capacity = capacityOf(quota, terms);
  }

  /** A new configuration: a lower limit holds at once for what is granted from now on. */
  limit(quota: Quota): void {
    this.quota = quota;
    this.capacity = capacityOf(quota, this.terms);
  }

  /** To be called before anything is read or taken. */
  fill(nowMs: Ms, { share, away }: Inflow): void {
    const { ratePerS } = this.quota;
    // One that stood still does not know who went by its own share meanwhile.
    const passedMs = Math.min(nowMs - this.filledAtMs, quotaLimits.aloneAfterMs);
    this.filledAtMs = nowMs;
    const room = Math.max(0, this.capacity * (1 - away) - this.heldSum);
    const inflow = (passedMs * ratePerS * share) / MS_PER_S;
    this.level = Math.min(room, this.level + inflow);
    this.promised = Math.max(0, this.promised - (passedMs * ratePerS) / MS_PER_S);
  }

  /** An entry's report: what it holds, what it gives back, what it was asked for. */
  hear(entry: HostId, held: number, returned: number, wanted: number): void {
    this.holds(entry, held);
    this.level += returned;
    this.wantedSum += wanted - (this.wanted.get(entry) ?? 0);
    if (wanted > 0) this.wanted.set(entry, wanted);
    else this.wanted.delete(entry);
  }

  /** The entry is gone for good: what it held was sent, or never will be. */
  forget(entry: HostId): void {
    this.hear(entry, 0, 0, 0);
  }

  /** Grants ahead of demand with the answer to a report, so that most requests need not ask. */
  ahead(entry: HostId, entryCount: number): number {
    const wanted = this.wanted.get(entry) ?? 0;
    if (wanted === 0) return 0;
    const held = this.held.get(entry) ?? 0;
    if (!this.isWide(entryCount)) {
      const missing = quotaLimits.keptRequests * this.usualCost - held;
      const spare = Math.min(missing, this.spare());
      return spare > 0 ? this.grant(entry, spare) : 0;
    }
    const missing = quotaLimits.aheadShare * wanted + this.usualCost - held;
    const byDemand = (this.level * wanted) / this.wantedSum;
    const granted = Math.min(missing, Math.max(byDemand, this.level - this.capacity / 2));
    return granted > 0 ? this.grant(entry, granted) : 0;
  }

  /** Grants one request that an entry could not serve from what it holds; 0 if there is too little. */
  draw(entry: HostId, missing: number, cost: number): number {
    this.usualCost += (cost - this.usualCost) * (this.usualCost === 0 ? 1 : NEWEST);
    if (this.level < missing) {
      this.promised += cost;
      return 0;
    }
    this.grant(entry, missing);
    // While there is plenty, the next one need not ask.
    const extra = Math.max(0, Math.min(this.usualCost, this.spare()));
    return missing + this.grant(entry, extra);
  }

  /** True while a usual request would find too little. */
  isEmpty(): boolean {
    return this.level < this.usualCost;
  }

  /** When those who were told to come back are served. */
  retryAfterMs(): Ms {
    const missing = Math.max(0, this.promised - this.level);
    const afterMs = (missing / this.quota.ratePerS) * MS_PER_S;
    return Math.min(quotaLimits.mostRetryAfterMs, afterMs);
  }

  /** What is left here, for operators. */
  get left(): number {
    return this.level;
  }

  /**
   * What may lie at entries that have no use for it yet: as much as the bucket is larger than the burst, so that a
   * customer that is refused has had its whole limit.
   */
  private spare(): number {
    const excess = this.capacity - this.quota.burst - this.heldSum;
    return Math.min(excess, this.level - this.capacity / 2);
  }

  /** Whether half of the bucket is enough for a few requests at each entry. */
  private isWide(entryCount: number): boolean {
    const perEntry = this.capacity / 2 / Math.max(1, entryCount);
    return perEntry >= quotaLimits.leastLumps * this.usualCost;
  }

  private grant(entry: HostId, amount: number): number {
    this.level -= amount;
    this.holds(entry, (this.held.get(entry) ?? 0) + amount);
    return amount;
  }

  private holds(entry: HostId, held: number): void {
    this.heldSum += held - (this.held.get(entry) ?? 0);
    if (held > 0) this.held.set(entry, held);
    else this.held.delete(entry);
  }
}
