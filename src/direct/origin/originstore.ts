import type { Clock, Ms, RequestId, Revision } from '../../base/index.js';
import type { StreamOrigin } from '../../core/origin/index.js';
import { maxRecordLength, parseJson, shape } from '../../core/shape/index.js';
import type { ChangeFeed, KeyValue, Log, Metrics, Swap } from '../../port/index.js';
import type { OriginCopy } from './origincopy.js';

interface OriginStoreOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Prefix of the keys, each of which holds one batch. */
  readonly prefix: string;
  /** Has the order lease holder write copies. Returns false if it did not answer, or if this entry is the holder. */
  readonly tellHolder: (copies: readonly OriginCopy[]) => Promise<boolean>;
  readonly swap: (swap: Swap) => ReturnType<ChangeFeed['swap']>;
  /** Keeps copies that the store holds. */
  readonly receive: (copies: readonly OriginCopy[]) => void;
}

/** Copies in the form stored: each origin once. */
interface StoredBatch {
  readonly origins: readonly StreamOrigin[];
  readonly streams: readonly (readonly [
    id: RequestId,
    sequence: number,
    origin: number,
    keepMs: Ms,
  ])[];
}

/** Copies wait this long for others, so that an entry makes few calls to the holder. */
const GATHER_MS = 10;
/** Shortest time between two writes of an entry: a stream that is younger at a kill of all entries may be lost. */
const WRITE_EVERY_MS = 150;
const RETRY_MS = 250;
/** Keys that are written in turn. At the highest pace a batch is kept for 38 s, the length of the longest streams. */
const SLOTS = 256;
/** Bounds of one batch, some 40 bytes a stream, and of the copies that wait; of more the oldest are dropped. */
const MAX_BATCH = 512;
const MAX_WAITING = 4096;
const MAX_ID_LENGTH = 128;
const ABSENT = 0 as Revision;

const isBatch = shape.object({
  origins: shape.listOf(
    shape.object({
      service: shape.text,
      softwareVersion: shape.optional(shape.string),
      weightsVersion: shape.optional(shape.string),
    }),
  ),
  streams: shape.listOf(
    (value) =>
      Array.isArray(value) &&
      shape.text(value[0]) &&
      shape.count(value[1]) &&
      shape.count(value[2]) &&
      shape.duration(value[3]),
  ),
});

function encode(copies: readonly OriginCopy[]): string {
  const origins: StreamOrigin[] = [];
  const indexes = new Map<string, number>();
  const streams = copies.map(({ id, sequence, origin, keepMs }) => {
    const key = JSON.stringify(origin);
    let index = indexes.get(key);
    if (index === undefined) {
      index = origins.push(origin) - 1;
      indexes.set(key, index);
    }
    return [id, sequence, index, keepMs] as const;
  });
  return JSON.stringify({ origins, streams } satisfies StoredBatch);
}

function decode(text: string): OriginCopy[] | undefined {
  const read = parseJson(text, maxRecordLength);
  if (!isBatch(read)) return undefined;
  const { origins, streams } = read as StoredBatch;
  return streams.flatMap(([id, sequence, index, keepMs]) => {
    const origin = origins[index];
    return origin ? [{ id, sequence, origin, keepMs }] : [];
  });
}

/**
 * Keeps copies of streams' origins in the store, as they would be lost with the memories of all entries. Entries tell the
 * order lease holder, which writes them in batches; without a holder each entry writes its own.
 */
export class OriginStore {
  /** Revisions of the keys' records, by slot. */
  private readonly slots = new Map<number, Revision>();

  private untold: OriginCopy[] = [];

  private waiting: OriginCopy[] = [];

  private nextWriteAtMs: Ms = 0;

  private isScheduled = false;

  private isWriting = false;

  private isClosed = false;

  constructor(private readonly options: OriginStoreOptions) {}

  get prefix(): string {
    return this.options.prefix;
  }

  /** Has a copy stored. */
  add(copy: OriginCopy): void {
    if (copy.id.length > MAX_ID_LENGTH) return;
    this.untold.push(copy);
    if (this.untold.length > 1) return;
    this.options.clock.after(GATHER_MS, () => {
      void this.tell();
    });
  }

  /** Writes copies with the next batch. */
  write(copies: readonly OriginCopy[]): void {
    this.waiting.push(...copies);
    const excess = this.waiting.length - MAX_WAITING;
    if (excess > 0) {
      this.waiting.splice(0, excess);
      this.count('dropped', excess);
    }
    this.schedule();
  }

  /** Applies what the store holds under one of the keys. */
  heard(key: string, item: KeyValue | undefined): void {
    const { prefix, log, receive } = this.options;
    const slot = Number(key.slice(prefix.length));
    if (!Number.isInteger(slot) || slot < 0 || slot >= SLOTS) return;
    if (!item) {
      this.slots.delete(slot);
      return;
    }
    if (item.revision > (this.slots.get(slot) ?? ABSENT)) this.slots.set(slot, item.revision);
    const copies = decode(item.value);
    if (copies) receive(copies);
    else log.warn('stream origins not readable', { key, revision: item.revision });
  }

  /** Writes nothing more. */
  close(): void {
    this.isClosed = true;
  }

  private async tell(): Promise<void> {
    const copies = this.untold;
    this.untold = [];
    if (!(await this.options.tellHolder(copies))) this.write(copies);
  }

  private schedule(): void {
    if (this.isClosed || this.isScheduled || this.isWriting || this.waiting.length === 0) return;
    const { clock } = this.options;
    this.isScheduled = true;
    clock.after(Math.max(0, this.nextWriteAtMs - clock.nowMs()), () => {
      this.isScheduled = false;
      void this.writeBatch();
    });
  }

  private async writeBatch(): Promise<void> {
    const { clock, log, prefix, swap } = this.options;
    const copies = this.waiting.splice(0, MAX_BATCH);
    const slot = this.oldestSlot();
    const key = `${prefix}${slot}`;
    const expectedRevision = this.slots.get(slot) ?? ABSENT;
    this.isWriting = true;
    const value = encode(copies);
    const reply = await swap({ key, expectedRevision, value });
    this.isWriting = false;
    this.nextWriteAtMs = clock.nowMs() + WRITE_EVERY_MS;
    if (reply.ok && reply.val.type === 'swapped') {
      this.slots.set(slot, reply.val.revision);
      this.count('stored', copies.length);
      log.info('stream origins stored', { streams: copies.length, slot, bytes: value.length });
    } else {
      this.waiting.unshift(...copies);
      if (reply.err) {
        this.nextWriteAtMs = clock.nowMs() + RETRY_MS;
        log.warn('stream origins not stored', { streams: copies.length, failure: reply.val.type });
      } else if (reply.val.type === 'conflict') {
        // Another entry has written it; its batch arrives by the list.
        const { current } = reply.val;
        if (current) this.slots.set(slot, current.revision);
        else this.slots.delete(slot);
        this.nextWriteAtMs = clock.nowMs();
      }
    }
    this.schedule();
  }

  /** Returns the slot that was not used for longest. */
  private oldestSlot(): number {
    if (this.slots.size < SLOTS) {
      let free = 0;
      while (this.slots.has(free)) free += 1;
      return free;
    }
    let oldest = 0;
    for (const [slot, revision] of this.slots) {
      if (revision < this.slots.get(oldest)!) oldest = slot;
    }
    return oldest;
  }

  private count(outcome: 'stored' | 'dropped', streams: number): void {
    this.options.metrics.count('direct.origin_stored', streams, { outcome });
  }
}
