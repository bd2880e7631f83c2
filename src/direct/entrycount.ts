import type { Ms } from '../base/index.js';

/**
 * What is shared out among all entries (retry budget, connections) is cut into this many parts at least, so
 * that entries may be added, and a few may be unknown, without a bound being passed.
 */
const LEAST_SHARES = 8;
/** Parts for each entry that is known: a quarter more may come before the count is told again. */
const SHARES_PER_ENTRY = 1.25;
/** Before the count is known, within a second of a start: as on a deployment of 25 entries. */
const UNKNOWN_SHARES = 32;
/** An entry that has told nothing for this long is taken as gone for good; restarts take a few seconds. */
const FORGET_MS = 20_000;

/** How many entries there are, as far as this one has heard. */
export class EntryCount {
  private readonly heardAtMs = new Map<string, Ms>();

  private told = 0;

  /** Another entry has told this one what it is asked for. */
  heard(entry: string, nowMs: Ms): void {
    this.heardAtMs.set(entry, nowMs);
  }

  /** The entry that hears all others has told their number. */
  toldOf(count: number): void {
    this.told = count;
  }

  /** Entries heard of lately, and this one. */
  count(nowMs: Ms): number {
    for (const [entry, atMs] of this.heardAtMs) {
      if (nowMs - atMs > FORGET_MS) this.heardAtMs.delete(entry);
    }
    return this.heardAtMs.size + 1;
  }

  /** Entries as far as this one knows: by what it was told, or has heard itself. */
  known(nowMs: Ms): number {
    return Math.max(this.told, this.count(nowMs));
  }

  /** Into how many parts what all entries share is cut. */
  shares(nowMs: Ms): number {
    const count = this.known(nowMs);
    if (count <= 1) return UNKNOWN_SHARES;
    return Math.max(LEAST_SHARES, Math.ceil(count * SHARES_PER_ENTRY));
  }
}
