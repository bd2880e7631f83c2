import type { Result } from 'ts-results';
import { result, systemClock, type Clock, type Ms, type Revision } from '../../src/base/index.js';
import type {
  KeyValue,
  KeyValueStore,
  StoreFailure,
  Swap,
  SwapOutcome,
  WatchEvent,
} from '../../src/port/index.js';
import { FaultSource, type StoreFaults } from './storefaults.js';
import { StoreMeter } from './storemeter.js';
import { StoreModel } from './storemodel.js';

/** Options of the stand-in store. */
interface MemoryStoreOptions {
  /** Default: the system clock. */
  readonly clock?: Clock;
  readonly faults?: StoreFaults;
  /** Limit of reads and opened watches per second; 2000 by default. */
  readonly readsPerSecond?: number;
  /** Limit of writes per second; 500 by default. */
  readonly writesPerSecond?: number;
}

interface Watch {
  readonly prefix: string;
  readonly notify: (event: WatchEvent) => void;
}

const DEFAULT_READS_PER_SECOND = 2000;
const DEFAULT_WRITES_PER_SECOND = 500;

/** Timers of Node.js may fire up to 1 ms early. */
const TIMER_SLACK_MS = 1;

const UNAVAILABLE: StoreFailure = { type: 'store-unavailable', detail: 'The store is down.' };
const CUT: StoreFailure = { type: 'store-unavailable', detail: 'The watch was cut.' };
const RATE: StoreFailure = { type: 'store-rate-limited', detail: 'Too many calls.' };
const UNKNOWN: StoreFailure = { type: 'store-outcome-unknown', detail: 'The answer was lost.' };
const COMPACTED: StoreFailure = { type: 'store-compacted', detail: 'The history is gone.' };

/** An in-process stand-in for the platform's key-value store, with rate limits and injected faults. */
export class MemoryStore implements KeyValueStore {
  readonly model = new StoreModel();

  readonly meter: StoreMeter;

  readonly faults: FaultSource;

  private readonly clock: Clock;

  /** Open watches, each with the last revision that it was notified of. */
  private readonly watches = new Map<Watch, Revision>();

  constructor(options: MemoryStoreOptions = {}) {
    this.clock = options.clock ?? systemClock;
    this.faults = new FaultSource(options.faults ?? {});
    this.meter = new StoreMeter({
      read: options.readsPerSecond ?? DEFAULT_READS_PER_SECOND,
      write: options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND,
    });
  }

  get(key: string): Promise<Result<KeyValue | undefined, StoreFailure>> {
    return this.call('read', () => result.Ok(this.model.get(key)));
  }

  list(
    prefix: string,
  ): Promise<Result<{ items: readonly KeyValue[]; revision: Revision }, StoreFailure>> {
    return this.call('read', () => result.Ok(this.model.list(prefix)));
  }

  swap(swap: Swap): Promise<Result<SwapOutcome, StoreFailure>> {
    return this.call('write', () => this.model.swap(swap));
  }

  async grantLease(ttlMs: Ms): Promise<Result<string, StoreFailure>> {
    const granted = await this.call('write', () =>
      result.Ok(this.model.grantLease(ttlMs, this.clock.nowMs())),
    );
    if (granted.ok) this.scheduleExpiry(ttlMs);
    return granted;
  }

  renewLease(leaseId: string): Promise<Result<Ms, StoreFailure>> {
    return this.call('write', () => {
      if (this.faults.lapsesLease()) this.model.endLease(leaseId);
      const remainingMs = this.model.renewLease(leaseId, this.clock.nowMs());
      if (remainingMs > 0) this.scheduleExpiry(remainingMs);
      return result.Ok(remainingMs);
    });
  }

  revokeLease(leaseId: string): Promise<Result<void, StoreFailure>> {
    return this.call('write', () => {
      this.model.endLease(leaseId);
      return result.Ok(undefined);
    });
  }

  watch(prefix: string, fromRevision: Revision, notify: (event: WatchEvent) => void): () => void {
    const watch = { prefix, notify };
    const nowMs = this.clock.nowMs();
    const refusal = this.meter.take('read', nowMs) ? undefined : RATE;
    const { type } = this.faults.next('read', nowMs);
    this.watches.set(watch, fromRevision);
    queueMicrotask(() => {
      if (refusal) this.end(watch, refusal);
      else if (type === 'refused') this.end(watch, UNAVAILABLE);
      else this.notifyWatch(watch);
    });
    return () => this.watches.delete(watch);
  }

  /** Cuts all open watches. */
  cutWatches(): void {
    for (const watch of [...this.watches.keys()]) this.end(watch, CUT);
  }

  /** Lets a lease lapse now, as if its holder had been suspended for too long. */
  lapse(leaseId: string): void {
    this.model.endLease(leaseId);
    this.notifyAll();
  }

  private async call<Answer>(
    kind: 'read' | 'write',
    effect: () => Result<Answer, StoreFailure>,
  ): Promise<Result<Answer, StoreFailure>> {
    if (!this.meter.take(kind, this.clock.nowMs())) return result.Err(RATE);
    const { type, delayMs } = this.faults.next(kind, this.clock.nowMs());
    if (delayMs > 0) await this.delay(delayMs);
    if (type === 'refused') return result.Err(UNAVAILABLE);
    if (type === 'request-lost') return result.Err(UNKNOWN);
    if (type === 'late') {
      this.clock.after(this.faults.lateMs(), () => this.execute(kind, effect));
      return result.Err(UNKNOWN);
    }
    const answer = this.execute(kind, effect);
    return type === 'answer-lost' ? result.Err(UNKNOWN) : answer;
  }

  private execute<Answer>(kind: 'read' | 'write', effect: () => Answer): Answer {
    this.model.expire(this.clock.nowMs());
    const answer = effect();
    this.notifyAll();
    if (kind === 'write' && this.faults.compacts()) this.model.compact();
    return answer;
  }

  private delay(delayMs: Ms): Promise<void> {
    return new Promise((resolve) => {
      this.clock.after(delayMs, resolve);
    });
  }

  private scheduleExpiry(ttlMs: Ms): void {
    this.clock.after(ttlMs + TIMER_SLACK_MS, () => {
      this.model.expire(this.clock.nowMs());
      this.notifyAll();
    });
  }

  private notifyAll(): void {
    for (const watch of [...this.watches.keys()]) this.notifyWatch(watch);
  }

  private notifyWatch(watch: Watch): void {
    const notifiedRevision = this.watches.get(watch);
    if (notifiedRevision === undefined) return;
    const { revision: upTo } = this.model;
    const events = this.model.eventsAfter(watch.prefix, notifiedRevision);
    if (!events) {
      this.end(watch, COMPACTED);
      return;
    }
    for (const { key, revision, item } of events) {
      if (!this.watches.has(watch)) return;
      if (this.faults.cutsWatch()) {
        this.end(watch, CUT);
        return;
      }
      this.watches.set(watch, revision);
      watch.notify(item ? { type: 'put', item } : { type: 'deleted', key, revision });
    }
    if (this.watches.has(watch)) this.watches.set(watch, upTo);
  }

  private end(watch: Watch, failure: StoreFailure): void {
    if (!this.watches.delete(watch)) return;
    watch.notify({ type: 'ended', failure });
  }
}
