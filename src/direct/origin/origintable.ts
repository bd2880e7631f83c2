import type { Ms, RequestId } from '../../base/index.js';
import type { StreamOrigin } from '../../core/origin/index.js';
import { maxKeepMs } from './maxkeepms.js';
import type { OriginCopy } from './origincopy.js';

/** What is known of one stream. */
interface OriginRecord {
  readonly origin: StreamOrigin;
  readonly sequence: number;
  readonly sinceMs: Ms;
  readonly untilMs: Ms;
}

/** Bound of the streams that are kept, some 200 bytes each; of more the oldest are evicted. */
const MAX_RECORDS = 32_768;

/** The origins of streams that this entry began, or keeps for other entries. */
export class OriginTable {
  private readonly records = new Map<RequestId, OriginRecord>();

  get size(): number {
    return this.records.size;
  }

  /** Records an origin, unless a later one of the stream is known. */
  put({ id, origin, sequence, keepMs }: OriginCopy, nowMs: Ms): void {
    const known = this.records.get(id);
    if (known && known.sequence > sequence) return;
    const untilMs = nowMs + Math.min(keepMs, maxKeepMs);
    this.records.delete(id);
    this.records.set(id, { origin, sequence, sinceMs: nowMs, untilMs });
    this.evict(nowMs);
  }

  get(id: RequestId, nowMs: Ms): OriginRecord | undefined {
    const known = this.records.get(id);
    return known && known.untilMs > nowMs ? known : undefined;
  }

  /** Evicts expired records at the old end, and the oldest ones beyond the bound. */
  private evict(nowMs: Ms): void {
    for (const [id, { untilMs }] of this.records) {
      if (untilMs > nowMs && this.records.size <= MAX_RECORDS) return;
      this.records.delete(id);
    }
  }
}
