import { nanoid } from 'nanoid';
import type { Clock, HostId, Ms, Revision } from '../../base/index.js';
import {
  mayOrder,
  nextTurn,
  onRecord,
  onWritten,
  type TurnRecord,
  type TurnState,
} from '../../core/orderturn/index.js';
import type { ChangeFeed, KeyValue, Log } from '../../port/index.js';

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
  /** Called when this process takes the right, with whether nobody had it before. */
  readonly took: (isFirst: boolean) => void;
}

type TurnWrite = NonNullable<ReturnType<typeof nextTurn>>;

const NONCE_LENGTH = 10;
/** After a write that failed, the next one waits this long, in ms. */
const PAUSE_MS = 150;

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

  constructor(private readonly options: TurnKeeperOptions) {
    const { host, address, turnMs, delayMs } = options;
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
    return own ? Math.max(0, own.ordersFromMs - this.options.clock.nowMs()) : 0;
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
    const write = nextTurn(this.state, nowMs);
    if (write) void this.write(write);
  }

  /** Gives the right up, so that another need not wait for it to lapse. */
  async release(): Promise<void> {
    this.isStopped = true;
    const { own } = this.state;
    const { feed, key, host, address, log } = this.options;
    this.state = { ...this.state, own: undefined };
    if (!own) return;
    const { nonce } = this.state;
    const value = { host, address, nonce, beat: own.beat + 1, isActive: true, isReleased: true };
    const text = JSON.stringify(value);
    const said = await feed.swap({ key, expectedRevision: own.revision, value: text });
    log.info('order turn released', { epoch: own.epoch, outcome: said.err ? said.val.type : said.val.type });
  }

  private async write(write: TurnWrite): Promise<void> {
    const { feed, key, clock, log } = this.options;
    this.isWriting = true;
    const sentAtMs = clock.nowMs();
    const value = JSON.stringify(write.value);
    const said = await feed.swap({ key, expectedRevision: write.expectedRevision, value });
    if (said.ok && said.val.type === 'swapped') this.written(write, said.val.revision, sentAtMs);
    else if (said.ok && said.val.type === 'conflict') this.heard(said.val.current);
    else if (said.err) await this.failed(write, said.val.type, sentAtMs);
    if (said.err) log.warn('order turn not written', { write: write.type, failure: said.val.type });
    this.isWriting = false;
  }

  private written(write: TurnWrite, revision: Revision, sentAtMs: Ms): void {
    const { clock, log, took } = this.options;
    const before = this.state.seen?.value.host;
    const nowMs = clock.nowMs();
    this.state = onWritten(this.state, write, revision, sentAtMs, nowMs);
    if (write.type !== 'take') return;
    const waitMs = Math.round(write.ordersFromMs - nowMs);
    log.info('order turn taken', { epoch: this.epoch, before, waitMs });
    took(before === undefined);
  }

  /** A write without an answer may have been done, or may be done later: its word is looked for. */
  private async failed(write: TurnWrite, type: string, sentAtMs: Ms): Promise<void> {
    const { feed, key, clock } = this.options;
    this.pausedUntilMs = clock.nowMs() + PAUSE_MS;
    if (type !== 'store-outcome-unknown') return;
    if (write.type === 'take') {
      const notBeforeMs = Math.max(this.state.notBeforeMs, write.ordersFromMs);
      this.state = { ...this.state, notBeforeMs };
    }
    const read = await feed.get(key);
    if (read.err || !read.val) return;
    const value = parse(read.val.value);
    const isOurs = value?.nonce === write.value.nonce && value.beat === write.value.beat;
    if (isOurs) this.written(write, read.val.revision, sentAtMs);
    else this.heard(read.val);
  }
}
