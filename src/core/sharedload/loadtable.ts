import type { Ms, UpstreamId } from '../../base/index.js';
import { sharedLoadRules } from './sharedloadrules.js';
import type { UpstreamLoad } from './upstreamload.js';
import type { UpstreamPace } from './upstreampace.js';

/** What one entry reported last. */
interface EntryLoads {
  readonly loads: readonly UpstreamLoad[];
  readonly atMs: Ms;
}

/** No upstream has more connections; larger counts are errors, and one of them would keep an upstream unused. */
const MAX_RUNNING = 100_000;

function isPlausible(count: number): boolean {
  return Number.isInteger(count) && count >= 0 && count <= MAX_RUNNING;
}

/**
 * Sums the requests that entries report at each upstream. The sums are updated with each report instead of being
 * computed for each answer: 30 entries report 300 times a second, each with up to 42 upstreams.
 */
export class LoadTable {
  private readonly entries = new Map<string, EntryLoads>();

  private readonly sums = new Map<UpstreamId, number>();

  private readonly averages = new Map<UpstreamId, number>();

  /** Records what an entry reported; this replaces its last report. */
  report(entry: string, loads: readonly UpstreamLoad[], nowMs: Ms): void {
    this.remove(entry);
    const plausible = loads.filter(({ running }) => isPlausible(running));
    this.entries.set(entry, { loads: plausible, atMs: nowMs });
    for (const { upstream, running } of plausible) this.add(upstream, running);
  }

  /** Records the averages of one entry that have changed. */
  reportPaces(paces: readonly UpstreamPace[]): void {
    for (const { upstream, percent } of paces) {
      if (!(percent > 0 && Number.isFinite(percent))) continue;
      const before = this.averages.get(upstream) ?? percent;
      const average = before + (percent - before) * sharedLoadRules.paceWeight;
      this.averages.set(upstream, average);
    }
  }

  /** Returns the sums, or undefined if fewer entries were heard of lately than are needed for a usable sum. */
  loads(knownCount: number, nowMs: Ms): readonly UpstreamLoad[] | undefined {
    this.removeSilent(nowMs);
    if (this.entries.size < knownCount * sharedLoadRules.minHeardShare) return undefined;
    return [...this.sums].map(([upstream, running]) => ({ upstream, running }));
  }

  /** Returns the average pace of each upstream that some entry has learned. */
  paces(): readonly UpstreamPace[] {
    return [...this.averages].map(([upstream, average]) => ({
      upstream,
      percent: Math.round(average),
    }));
  }

  /** Forgets the paces of upstreams that no longer exist. */
  keepPaces(exists: (upstream: UpstreamId) => boolean): void {
    for (const upstream of this.averages.keys()) {
      if (!exists(upstream)) this.averages.delete(upstream);
    }
  }

  private removeSilent(nowMs: Ms): void {
    for (const [entry, { atMs }] of this.entries) {
      if (nowMs - atMs > sharedLoadRules.silentMs) this.remove(entry);
    }
  }

  private remove(entry: string): void {
    const before = this.entries.get(entry);
    this.entries.delete(entry);
    for (const { upstream, running } of before?.loads ?? []) this.add(upstream, -running);
  }

  private add(upstream: UpstreamId, change: number): void {
    const sum = (this.sums.get(upstream) ?? 0) + change;
    if (sum > 0) this.sums.set(upstream, sum);
    else this.sums.delete(upstream);
  }
}
