import type { Ms, UpstreamId } from '../../base/index.js';
import type { DemandReport } from './demandreport.js';

/**
 * Least number of entries that have to report the loss: a single entry may be cut off from an upstream that all others
 * reach.
 */
const MIN_ENTRIES = 2;
/** Entries report several times a second; a report that was not repeated within this time has expired. */
const FRESH_MS = 1000;

/**
 * Upstreams that several entries report as lost. The list shows the loss only after three missed writes, 3.6 s;
 * until then a model whose only replica was there would still count as available.
 */
export class LostUpstreams {
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
    return count >= MIN_ENTRIES;
  }
}
