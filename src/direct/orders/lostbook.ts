import type { Ms, UpstreamId } from '../../base/index.js';
import type { DemandReport } from './demandreport.js';

/** One entry alone may be cut off from an upstream that all others reach. */
const LEAST_ENTRIES = 2;
/** Entries tell several times a second; what one has not told again has passed. */
const FRESH_MS = 1000;

/**
 * Which upstreams are lost by the word of several entries. The list says so only after three missed entries,
 * 3.6 s; until then the only places of models stay counted as held.
 */
export class LostBook {
  private readonly byEntry = new Map<
    string,
    { readonly lost: Set<UpstreamId>; readonly atMs: Ms }
  >();

  take({ entry, lost }: DemandReport, nowMs: Ms): void {
    if (lost.length > 0) this.byEntry.set(entry, { lost: new Set(lost), atMs: nowMs });
    else this.byEntry.delete(entry);
  }

  isLost(upstream: UpstreamId, nowMs: Ms): boolean {
    let count = 0;
    for (const { lost, atMs } of this.byEntry.values()) {
      if (lost.has(upstream) && nowMs - atMs < FRESH_MS) count += 1;
    }
    return count >= LEAST_ENTRIES;
  }
}
