import { nanoid } from 'nanoid';
import type { Clock, HostId, Ms, Revision } from '../../base/index.js';
import {
  mayOrder,
  nextTurn,
  onAnswer,
  onRecord,
  releasedTurn,
  turnLimits,
  type TurnRecord,
  type TurnState,
} from '../../core/orderturn/index.js';
import type { ChangeFeed, KeyValue, Log, Swap } from '../../port/index.js';

/** Options of a keeper. */
interface TurnKeeperOptions {
  readonly host: HostId;
  /** Where other entries reach this one. */
  readonly address: string;
  readonly key: string;
  readonly turnMs: Ms;
  readonly delayMs: Ms;
  readonly feed: ChangeFeed;
  readonly clock: Clock;
  readonly log: Log;
  /** Makes the write through another entry, where this one's own way to the store may be cut. */
  readonly relay: (swap: Swap) => ReturnType<ChangeFeed['swap']>;
  /** The entries that there are; those that start, and a successor, read it with the record. */
  readonly entries: () => TurnRecord['entries'];
  /** Called when this process takes the right, with whether nobody had it before. */
  readonly took: (isFirst: boolean) => void;
}

type TurnWrite = NonNullable<ReturnType<typeof nextTurn>>;

const NONCE_LENGTH = 10;
/** After a write that failed, the next one waits this long, in ms. */
const PAUSE_MS = 150;
/** A renewal without an answer for this long is made through another entry as well. */
const RELAY_AFTER_MS = 350;

function parse(text: string): TurnRecord | undefined {
  try {
    return JSON.parse(text) as TurnRecord;
  } catch {
    return undefined;
  }
}

/** Keeps or seeks the right to give orders, by the record in the store. */
export class TurnKeeper {
  private state: TurnState;

  private isWriting = false;

  private isStopped = false;

  private pausedUntilMs: Ms = 0;

  private readonly startedAtMs: Ms;

  constructor(private readonly options: TurnKeeperOptions) {
    const { host, address, turnMs, delayMs, clock } = options;
    this.startedAtMs = clock.nowMs();
    this.state = {
      host,
      address,
      nonce: nanoid(NONCE_LENGTH),
      turnMs,
      delayMs,
      seen: undefined,
      own: undefined,
      notBeforeMs: 0,
    };
  }

  mayOrder(): boolean {
    return mayOrder(this.state, this.options.clock.nowMs());
  }

  /** Whether this process alone answers for what all entries share; unlike an order, an answer is over at once. */
  mayAnswer(): boolean {
    const { own } = this.state;
    return own !== undefined && this.options.clock.nowMs() < own.validUntilMs;
  }

  /** What the last holder wrote of the entries that there are. */
  get toldEntries(): TurnRecord['entries'] {
    return this.state.seen?.value.entries;
  }

  get epoch(): number {
    return this.state.own?.epoch ?? 0;
  }

  isHolder(): boolean {
    return this.state.own !== undefined;
  }

  /** Where the holder is reached, unless it has given the right up. */
  holderAddress(): string | undefined {
    const { seen } = this.state;
    return seen && !seen.value.isReleased ? seen.value.address : undefined;
  }

  /** How long until the own right may be used. */
  ordersInMs(): Ms {
    const { own } = this.state;
    if (!own) return 0;
    const nowMs = this.options.clock.nowMs();
    // Without the store nobody knows when: to come back a little later costs less than to wait.
    if (nowMs >= own.validUntilMs) return turnLimits.ttlMs;
    return Math.max(0, own.ordersFromMs - nowMs);
  }

  /** How long until somebody may give orders, if the holder that the record names is lost. */
  vacantForMs(): Ms {
    const { state } = this;
    const nowMs = this.options.clock.nowMs();
    const { seen } = state;
    const freeAtMs = seen && !seen.value.isReleased ? seen.seenAtMs + turnLimits.ttlMs : nowMs;
    return Math.max(0, Math.max(nowMs, freeAtMs) + state.turnMs - nowMs);
  }

  heard(item: KeyValue | undefined): void {
    const { log, clock } = this.options;
    const value = item && parse(item.value);
    if (!item || !value) {
      log.warn('order turn not readable', { revision: item?.revision });
      return;
    }
    const had = this.state.own;
    const before = this.state.seen?.value.nonce;
    this.state = onRecord(this.state, value, item.revision, clock.nowMs());
    if (before !== value.nonce) {
      const { host, address } = value;
      log.info('order turn changed', { host, address, revision: item.revision });
    }
    if (had && !this.state.own) log.warn('order turn lost', { epoch: had.epoch, to: value.host });
  }

  /** To be called several times a second. */
  tick(): void {
    const nowMs = this.options.clock.nowMs();
    if (this.isWriting || this.isStopped || nowMs < this.pausedUntilMs) return;
    // The first right of all is left to hosts that come before this one as well.
    if (!this.state.seen && nowMs < this.startedAtMs + this.options.delayMs) return;
    const write = nextTurn(this.state, nowMs);
    if (write) void this.write(write);
  }

  /** Gives the right up, so that another need not wait for it to lapse. */
  async release(): Promise<void> {
    this.isStopped = true;
    const { feed, key, log, clock } = this.options;
    const { epoch } = this;
    const release = releasedTurn(this.state, clock.nowMs());
    this.state = { ...this.state, own: undefined };
    if (!release) return;
    const { expectedRevision, value } = release;
    const said = await feed.swap({ key, expectedRevision, value: JSON.stringify(value) });
    log.info('order turn released', { epoch, outcome: said.val.type });
  }

  private async write(write: TurnWrite): Promise<void> {
    const { feed, key } = this.options;
    this.isWriting = true;
    const value = JSON.stringify({ ...write.value, entries: this.options.entries() });
    const swap = { key, expectedRevision: write.expectedRevision, value };
    const said = write.type === 'renew' ? await this.renew(swap) : await feed.swap(swap);
    if (said.err) await this.failed(write, said.val.type);
    else if (said.val.type === 'swapped') this.answered(write, write.value, said.val.revision);
    else this.conflict(write, said.val.current);
    this.isWriting = false;
  }

  /** Both ways write the same value under the same condition, so that one of them at most takes effect. */
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

  private conflict(write: TurnWrite, current: KeyValue | undefined): void {
    const value = current && parse(current.value);
    if (current && value) this.answered(write, value, current.revision);
    else this.heard(current);
  }

  private answered(write: TurnWrite, value: TurnRecord, revision: Revision): void {
    const { clock, log, took } = this.options;
    const before = this.state.seen?.value.host;
    // The list may have told of this write before its own answer came.
    const isFirst = write.expectedRevision === 0;
    const had = this.state.own;
    this.state = onAnswer(this.state, write, value, revision, clock.nowMs());
    const { own } = this.state;
    if (had && !own) log.warn('order turn lost', { epoch: had.epoch, to: value.host });
    if (had || !own) return;
    const waitMs = Math.round(own.ordersFromMs - clock.nowMs());
    log.info('order turn taken', { epoch: own.epoch, before, waitMs });
    took(isFirst);
  }

  /** A write without an answer may have been done, or may be done later: its word is looked for. */
  private async failed(write: TurnWrite, failure: string): Promise<void> {
    const { feed, key, clock, log } = this.options;
    log.warn('order turn not written', { write: write.type, failure });
    this.pausedUntilMs = clock.nowMs() + PAUSE_MS;
    if (failure !== 'store-outcome-unknown') return;
    if (write.type === 'take') {
      const notBeforeMs = Math.max(this.state.notBeforeMs, write.ordersFromMs);
      this.state = { ...this.state, notBeforeMs };
    }
    const read = await feed.get(key);
    if (read.ok && read.val) this.conflict(write, read.val);
  }
}
