import type { Ms, UpstreamId } from '../../base/index.js';
import type { DemandReport } from './demandreport.js';

/** An entry that has told nothing for this long has gone, and its requests with it. */
const SILENT_MS = 1500;
/** All entries ask several times a second: they are told one sum for this long. */
const KEPT_MS = 80;

/** Requests at each upstream over all entries, as the holder of orders hears them. */
export class LoadBook {
  private readonly byEntry = new Map<
    string,
    { readonly inFlight: DemandReport['inFlight']; readonly atMs: Ms }
  >();

  private kept: DemandReport['inFlight'] = [];

  private keptAtMs: Ms = -Infinity;

  take({ entry, inFlight }: DemandReport, nowMs: Ms): void {
    this.byEntry.set(entry, { inFlight, atMs: nowMs });
  }

  totals(nowMs: Ms): DemandReport['inFlight'] {
    if (nowMs - this.keptAtMs < KEPT_MS) return this.kept;
    const sums = new Map<UpstreamId, number>();
    for (const [entry, { inFlight, atMs }] of this.byEntry) {
      if (nowMs - atMs > SILENT_MS) {
        this.byEntry.delete(entry);
        continue;
      }
      for (const [upstream, count] of inFlight) {
        sums.set(upstream, (sums.get(upstream) ?? 0) + count);
      }
    }
    this.kept = [...sums];
    this.keptAtMs = nowMs;
    return this.kept;
  }
}
