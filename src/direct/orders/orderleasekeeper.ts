import { nanoid } from 'nanoid';
import type { Clock, HostId, Ms, Revision } from '../../base/index.js';
import {
  mayOrder,
  nextLeaseWrite,
  onWriteResult,
  onRecord,
  onUnreadable,
  releasedLease,
  orderLeaseLimits,
  type OrderLeaseRecord,
  type OrderLeaseState,
} from '../../core/orderlease/index.js';
import { maxRecordLength, parseJson, shape } from '../../core/shape/index.js';
import type { ChangeFeed, KeyValue, Log, Swap } from '../../port/index.js';
import { maxEntryCount } from './maxentrycount.js';

/** Options of an order lease keeper. */
interface OrderLeaseKeeperOptions {
  readonly host: HostId;
  /** Address at which other entries reach this one. */
  readonly address: string;
  readonly key: string;
  readonly spacingMs: Ms;
  readonly delayMs: Ms;
  readonly feed: ChangeFeed;
  readonly clock: Clock;
  readonly log: Log;
  /** Performs a write through another entry, as this one may be cut off from the store. */
  readonly relay: (swap: Swap) => ReturnType<ChangeFeed['swap']>;
  /** Number of entries, written with the record for entries that start and for the next holder. */
  readonly entries: () => OrderLeaseRecord['entries'];
  /** Version of the configuration in force, written with the record for entries that start. */
  readonly table: () => OrderLeaseRecord['table'];
  /** Called when this process takes the lease; `isFirst` if no process held it before. */
  readonly onTaken: (isFirst: boolean) => void;
}

type LeaseWrite = NonNullable<ReturnType<typeof nextLeaseWrite>>;

const NONCE_LENGTH = 10;
/** Pause after a failed write, in ms. */
const RETRY_DELAY_MS = 150;
/** A renewal without an answer after this time is sent through another entry as well. */
const RELAY_AFTER_MS = 350;

const isEntryCount = shape.positiveUpTo(maxEntryCount);
const isRecord = shape.object({
  host: shape.text,
  address: shape.address,
  nonce: shape.text,
  sentAtMs: shape.number,
  isActive: shape.boolean,
  isReleased: shape.boolean,
  entries: shape.optional(shape.object({ count: isEntryCount, parts: isEntryCount })),
  table: shape.optional(shape.number),
});

/** Reads a record, which may come from another writer. */
function parse(text: string): OrderLeaseRecord | undefined {
  const read = parseJson(text, maxRecordLength);
  return isRecord(read) ? (read as OrderLeaseRecord) : undefined;
}

/**
 * Takes, renews and releases the order lease by its record in the store. The key and the log messages call the lease
 * "order turn".
 */
export class OrderLeaseKeeper {
  private state: OrderLeaseState;

  private isWriting = false;

  private isStopped = false;

  private retryAtMs: Ms = 0;

  private readonly startedAtMs: Ms;

  constructor(private readonly options: OrderLeaseKeeperOptions) {
    const { host, address, spacingMs, delayMs, clock } = options;
    this.startedAtMs = clock.nowMs();
    this.state = {
      host,
      address,
      nonce: nanoid(NONCE_LENGTH),
      spacingMs,
      delayMs,
      seen: undefined,
      own: undefined,
      notBeforeMs: 0,
    };
  }

  mayOrder(): boolean {
    return mayOrder(this.state, this.options.clock.nowMs());
  }

  /**
   * True if this process alone may answer for what all entries share. It need not wait for the previous holder's
   * orders to end: unlike an order, an answer has no effect later.
   */
  mayAnswer(): boolean {
    const { own } = this.state;
    return own !== undefined && this.options.clock.nowMs() < own.validUntilMs;
  }

  /** Number of entries as the last holder recorded it. */
  get recordedEntries(): OrderLeaseRecord['entries'] {
    return this.state.seen?.value.entries;
  }

  /** The last record that was read. */
  get record(): OrderLeaseRecord | undefined {
    return this.state.seen?.value;
  }

  get epoch(): number {
    return this.state.own?.epoch ?? 0;
  }

  isHolder(): boolean {
    return this.state.own !== undefined;
  }

  /** Returns the holder's address; undefined if the lease was released or no readable record is known. */
  holderAddress(): string | undefined {
    const { seen } = this.state;
    if (!seen || seen.value.isReleased || seen.value.address === '') return undefined;
    return seen.value.address;
  }

  /** Returns how long until this process may send orders; 0 without a lease. */
  ordersInMs(): Ms {
    const { own } = this.state;
    if (!own) return 0;
    const nowMs = this.options.clock.nowMs();
    // Without the store the time is unknown: for a caller, retrying a little later costs less than waiting.
    if (nowMs >= own.validUntilMs) return orderLeaseLimits.ttlMs;
    return Math.max(0, own.ordersFromMs - nowMs);
  }

  /** Returns how long until another process may send orders if the recorded holder is lost. */
  takeoverInMs(): Ms {
    const { state } = this;
    const nowMs = this.options.clock.nowMs();
    const { seen } = state;
    const freeAtMs =
      seen && !seen.value.isReleased ? seen.seenAtMs + orderLeaseLimits.ttlMs : nowMs;
    return Math.max(0, Math.max(nowMs, freeAtMs) + state.spacingMs - nowMs);
  }

  heard(item: KeyValue | undefined): void {
    const { log, clock } = this.options;
    const value = item && parse(item.value);
    const old = this.state.own;
    if (!item || !value) {
      this.state = onUnreadable(this.state, item?.revision, clock.nowMs());
      log.warn('order turn not readable', { revision: item?.revision });
      if (old && !this.state.own) log.warn('order turn lost', { epoch: old.epoch });
      return;
    }
    const before = this.state.seen?.value.nonce;
    this.state = onRecord(this.state, value, item.revision, clock.nowMs());
    if (before !== value.nonce) {
      const { host, address } = value;
      log.info('order turn changed', { host, address, revision: item.revision });
    }
    if (old && !this.state.own) log.warn('order turn lost', { epoch: old.epoch, to: value.host });
  }

  /** Writes a takeover or renewal if one is due. Called several times a second. */
  tick(): void {
    const nowMs = this.options.clock.nowMs();
    if (this.isWriting || this.isStopped || nowMs < this.retryAtMs) return;
    // The takeover delay applies to the very first lease as well.
    if (!this.state.seen && nowMs < this.startedAtMs + this.options.delayMs) return;
    const write = nextLeaseWrite(this.state, nowMs);
    if (write) void this.write(write);
  }

  /** Releases the lease, so that the next holder need not wait for it to expire. */
  async release(): Promise<void> {
    this.isStopped = true;
    const { feed, key, log, clock } = this.options;
    const { epoch } = this;
    const release = releasedLease(this.state, clock.nowMs());
    this.state = { ...this.state, own: undefined };
    if (!release) return;
    const { expectedRevision, value } = release;
    const reply = await feed.swap({ key, expectedRevision, value: this.encode(value) });
    log.info('order turn released', { epoch, outcome: reply.val.type });
  }

  /** Adds what entries that start need to know: nobody may hold the lease when they do. */
  private encode(value: OrderLeaseRecord): string {
    const { entries, table } = this.options;
    return JSON.stringify({ ...value, entries: entries(), table: table() });
  }

  private async write(write: LeaseWrite): Promise<void> {
    const { feed, key } = this.options;
    this.isWriting = true;
    const value = this.encode(write.value);
    const swap = { key, expectedRevision: write.expectedRevision, value };
    const reply = write.type === 'renew' ? await this.renew(swap) : await feed.swap(swap);
    if (reply.err) await this.writeFailed(write, reply.val.type);
    else if (reply.val.type === 'swapped') this.answered(write, write.value, reply.val.revision);
    else this.conflict(write, reply.val.current);
    this.isWriting = false;
  }

  /**
   * Renews directly and, if the answer is late, through another entry as well. Both write the same value under the
   * same condition, so that at most one takes effect.
   */
  private async renew(swap: Swap): ReturnType<ChangeFeed['swap']> {
    const { feed, clock, relay, log } = this.options;
    const direct = feed.swap(swap);
    const late = new Promise<undefined>((resolve) => {
      clock.after(RELAY_AFTER_MS, () => resolve(undefined));
    });
    const first = await Promise.race([direct, late]);
    if (first?.ok) return first;
    const relayed = await relay(swap);
    log.info('order turn renewed through another entry', { ok: relayed.ok });
    return relayed.err ? (first ?? direct) : relayed;
  }

  private conflict(write: LeaseWrite, current: KeyValue | undefined): void {
    const value = current && parse(current.value);
    if (current && value) this.answered(write, value, current.revision);
    else this.heard(current);
  }

  private answered(write: LeaseWrite, value: OrderLeaseRecord, revision: Revision): void {
    const { clock, log, onTaken } = this.options;
    const before = this.state.seen?.value.host;
    // The change feed may have delivered this write before its own answer arrived.
    const isFirst = write.expectedRevision === 0;
    const old = this.state.own;
    this.state = onWriteResult(this.state, write, value, revision, clock.nowMs());
    const { own } = this.state;
    if (old && !own) log.warn('order turn lost', { epoch: old.epoch, to: value.host });
    if (old || !own) return;
    const waitMs = Math.round(own.ordersFromMs - clock.nowMs());
    log.info('order turn taken', { epoch: own.epoch, before, waitMs });
    onTaken(isFirst);
  }

  /** Handles a failed write. One without an answer may have taken effect, or may do so later: the record is read. */
  private async writeFailed(write: LeaseWrite, failure: string): Promise<void> {
    const { feed, key, clock, log } = this.options;
    log.warn('order turn not written', { write: write.type, failure });
    this.retryAtMs = clock.nowMs() + RETRY_DELAY_MS;
    if (failure !== 'store-outcome-unknown') return;
    if (write.type === 'take') {
      const notBeforeMs = Math.max(this.state.notBeforeMs, write.ordersFromMs);
      this.state = { ...this.state, notBeforeMs };
    }
    const read = await feed.get(key);
    if (read.ok && read.val) this.conflict(write, read.val);
  }
}
