import type { Clock, Ms, Revision } from '../../base/index.js';
import { hash32 } from '../../core/hash/index.js';
import type { OriginHistory, VersionRecord } from '../../core/origin/index.js';
import { maxRecordLength, parseJson, shape } from '../../core/shape/index.js';
import type { ChangeFeed, KeyValue, Log, Swap } from '../../port/index.js';

interface VersionKeeperOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly entry: string;
  readonly key: string;
  readonly history: OriginHistory;
  readonly isHolder: () => boolean;
  /** Returns the greatest possible age of the list of upstreams. */
  readonly listAgeMs: () => Ms;
  readonly swap: (swap: Swap) => ReturnType<ChangeFeed['swap']>;
  /** Called when the versions at which streams may begin have changed. */
  readonly changed: () => void;
}

/** Other entries than the order lease holder wait, so that one entry writes a change. */
const OTHERS_WAIT_MS = 150;
const WAIT_STEPS = 8;
const WAIT_STEP_MS = 60;
const RETRY_MS = 200;
const ABSENT = 0 as Revision;

const isRecord = shape.object({
  services: shape.listOf(
    shape.object({
      service: shape.text,
      versions: shape.listOf(shape.string),
      settledCount: shape.count,
    }),
  ),
  isComplete: shape.optional(shape.boolean),
});

function decode(text: string): VersionRecord | undefined {
  const read = parseJson(text, maxRecordLength);
  return isRecord(read) ? (read as VersionRecord) : undefined;
}

/** Keeps the record of the software versions at which resumable streams may begin. Any entry may write it. */
export class VersionKeeper {
  /** Since when the record lacks something that this entry knows. */
  private staleSinceMs: Ms | undefined;

  private retryAtMs: Ms = 0;

  private isWriting = false;

  private hasRecord = false;

  private readonly waitMs: Ms;

  constructor(private readonly options: VersionKeeperOptions) {
    this.waitMs = OTHERS_WAIT_MS + (hash32(options.entry) % WAIT_STEPS) * WAIT_STEP_MS;
  }

  /** Applies what the store holds. */
  heard(item: KeyValue | undefined): void {
    const { history, clock, log, changed } = this.options;
    const record = item && decode(item.value);
    const revision = item?.revision ?? ABSENT;
    if (!history.versionsStored(record, revision, clock.nowMs())) return;
    this.hasRecord ||= item !== undefined;
    if (record) log.info('stream versions', { revision, services: record.services });
    else log.warn('stream versions not readable', { revision });
    changed();
  }

  /** Writes the record if it is due. Called several times a second. */
  tick(): void {
    const { history, clock, isHolder, listAgeMs } = this.options;
    const nowMs = clock.nowMs();
    if (this.isWriting || nowMs < this.retryAtMs) return;
    const next = history.versionsToStore(nowMs, nowMs - listAgeMs());
    if (!next) {
      this.staleSinceMs = undefined;
      return;
    }
    this.staleSinceMs ??= nowMs;
    // No stream can begin before there is a record; of several that are written first, one is taken.
    const isUrgent = isHolder() || !this.hasRecord;
    if (!isUrgent && nowMs < this.staleSinceMs + this.waitMs) return;
    void this.write(next);
  }

  private async write({
    record,
    expectedRevision,
  }: NonNullable<ReturnType<OriginHistory['versionsToStore']>>): Promise<void> {
    const { key, swap, clock, log } = this.options;
    const value = JSON.stringify(record);
    this.isWriting = true;
    const reply = await swap({ key, expectedRevision, value });
    this.isWriting = false;
    this.staleSinceMs = undefined;
    if (reply.err) {
      this.retryAtMs = clock.nowMs() + RETRY_MS;
      log.warn('stream versions not written', { failure: reply.val.type });
    } else if (reply.val.type === 'swapped') {
      this.heard({ key, value, revision: reply.val.revision });
    } else this.heard(reply.val.current);
  }
}
