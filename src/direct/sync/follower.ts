import type { Clock, Ms, Revision, UpstreamId } from '../../base/index.js';
import type { RouteTable } from '../../core/routetable/index.js';
import type { KeyValue, Log } from '../../port/index.js';
import type { StateCodec } from '../statecodec.js';
import type { FollowPace } from './followpace.js';
import { MAX_SHARED_AGE_MS } from './maxsharedage.js';
import type { StateFeed } from './statefeed.js';
import { UpstreamList } from './upstreamlist.js';

type ListListener = ConstructorParameters<typeof UpstreamList>[0]['listener'];

/** Receives the followed state. */
interface Listener extends ListListener {
  setTable(table: RouteTable): void;
  /** A key that this system writes has changed; `item` is undefined once it is deleted. */
  ownKeyChanged(key: string, item: KeyValue | undefined): void;
  /** The first full read is done. */
  complete(): void;
}

const FIRST_PAUSE_MS = 50;
const MAX_PAUSE_MS = 400;
/** Upstreams whose records expired during a store outage write them again within about 2 s of its end. */
const REWRITE_MS = 2100;
/** Follows the platform's store: reads everything once, then polls for changes. */
export class Follower {
  private revision = 0 as Revision;

  private version = -1;

  private readonly list: UpstreamList;

  /** Existing keys that this system writes. */
  private readonly ownKeys = new Set<string>();

  private isComplete = false;

  private isStopped = false;

  private failingSinceMs: Ms | undefined;

  /** All changes up to this time are known. */
  private knownAtMs: Ms = -Infinity;

  private regainedAtMs: Ms = -Infinity;

  constructor(
    private readonly feed: StateFeed,
    private readonly codec: StateCodec,
    private readonly listener: Listener,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly pace: () => FollowPace,
  ) {
    const ageMs = () => this.knownAgeMs();
    this.list = new UpstreamList({ codec, listener, clock, log, ageMs });
  }

  /** Follows the store until `stop` is called. */
  async run(): Promise<void> {
    let pauseMs = FIRST_PAUSE_MS;
    while (!this.isStopped) {
      const failure = this.isComplete ? await this.follow() : await this.readAll();
      if (this.failingSinceMs === undefined) this.list.dropLapsed();
      if (failure === undefined) {
        pauseMs = FIRST_PAUSE_MS;
        await this.pause(this.pace().batchMs);
        continue;
      }
      this.lost(failure);
      await this.pause(pauseMs);
      pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Returns for how long the store has not answered, in ms; 0 while it does. */
  silentMs(): Ms {
    return this.failingSinceMs === undefined ? 0 : this.clock.nowMs() - this.failingSinceMs;
  }

  /** Returns for how long the store has answered without a break, in ms. */
  steadyMs(): Ms {
    if (this.failingSinceMs !== undefined) return 0;
    return this.clock.nowMs() - this.regainedAtMs;
  }

  /** Returns the greatest possible age of this entry's state of the store, in ms. */
  knownAgeMs(): Ms {
    return this.clock.nowMs() - this.knownAtMs;
  }

  private async readAll(): Promise<string | undefined> {
    const sentAtMs = this.clock.nowMs();
    const answer = await this.feed.list(this.codec.watchedPrefix);
    if (answer.err) return answer.val.type;
    this.storeRegained();
    this.knownAtMs = sentAtMs;
    const { items, revision } = answer.val;
    const present = new Set<UpstreamId>();
    for (const item of items) {
      this.put(item);
      const id = this.codec.upstreamOf(item.key);
      if (id !== undefined) present.add(id as UpstreamId);
    }
    this.list.retain(present, revision);
    const keys = new Set(items.map(({ key }) => key));
    for (const key of this.ownKeys) {
      if (!keys.has(key)) this.ownKeyDeleted(key);
    }
    this.revision = revision;
    this.isComplete = true;
    this.log.info('state read', { revision, items: items.length, version: this.version });
    this.listener.complete();
    return undefined;
  }

  private async follow(): Promise<string | undefined> {
    const { waitMs } = this.pace();
    const sentAtMs = this.clock.nowMs();
    const answer = await this.feed.changes(this.codec.watchedPrefix, this.revision, waitMs);
    if (answer.err) {
      if (answer.val.type === 'store-compacted') this.isComplete = false;
      return answer.val.type;
    }
    this.storeRegained();
    for (const change of answer.val.changes) {
      if (change.type === 'put') this.put(change.item);
      else this.deleted(change.key, change.revision);
    }
    this.revision = answer.val.revision;
    // Another entry may have read the changes for this one, at most this long ago.
    this.knownAtMs = Math.max(this.knownAtMs, sentAtMs - MAX_SHARED_AGE_MS);
    return undefined;
  }

  private put(item: KeyValue): void {
    const { codec } = this;
    const id = codec.upstreamOf(item.key);
    if (id !== undefined) this.list.put(id as UpstreamId, item);
    else if (codec.isTable(item.key)) this.putTable(item);
    else if (item.key.startsWith(codec.ownPrefix)) {
      this.ownKeys.add(item.key);
      this.listener.ownKeyChanged(item.key, item);
    }
  }

  private putTable({ value, revision }: KeyValue): void {
    const table = this.codec.decodeTable(value);
    if (table.err) {
      const { detail } = table.val;
      this.log.error('configuration not readable', { revision, detail, inForce: this.version });
      return;
    }
    const { version } = table.val;
    if (version <= this.version) return;
    this.log.info('configuration in force', { version, before: this.version, revision });
    this.version = version;
    this.listener.setTable(table.val);
  }

  private deleted(key: string, revision: Revision): void {
    const id = this.codec.upstreamOf(key) as UpstreamId | undefined;
    if (id !== undefined) this.list.removed(id, revision);
    else if (key.startsWith(this.codec.ownPrefix)) this.ownKeyDeleted(key);
  }

  private ownKeyDeleted(key: string): void {
    this.ownKeys.delete(key);
    this.listener.ownKeyChanged(key, undefined);
  }

  private lost(failure: string): void {
    if (this.failingSinceMs !== undefined || failure === 'store-compacted') return;
    this.failingSinceMs = this.clock.nowMs();
    this.log.warn('store lost', { failure, revision: this.revision });
  }

  private storeRegained(): void {
    if (this.failingSinceMs === undefined) return;
    const nowMs = this.clock.nowMs();
    this.log.info('store regained', { afterMs: Math.round(nowMs - this.failingSinceMs) });
    this.failingSinceMs = undefined;
    this.list.distrustUntil(nowMs + REWRITE_MS);
    this.regainedAtMs = nowMs;
  }

  private pause(ms: Ms): Promise<void> {
    return new Promise((resolve) => {
      this.clock.after(ms, resolve);
    });
  }
}
