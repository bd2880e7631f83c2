import type { Clock, Ms, Revision, UpstreamId } from '../../base/index.js';
import type { RouteTable } from '../../core/routetable/index.js';
import type { KeyValue, Log, StoreFailure } from '../../port/index.js';
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

interface FollowerOptions {
  readonly feed: StateFeed;
  readonly codec: StateCodec;
  readonly listener: Listener;
  readonly clock: Clock;
  readonly log: Log;
  readonly pace: () => FollowPace;
  /** How often upstreams write their records. */
  readonly heartbeatMs: Ms;
}

interface OwnKey {
  readonly revision: Revision;
  readonly isDeleted: boolean;
}

const FIRST_PAUSE_MS = 50;
const MAX_RETRY_MS = 400;
/** Upstreams whose records expired during a store outage write them again within about 2 s of its end. */
const REWRITE_MS = 2100;
/**
 * How long the store has to have answered another entry before removals are believed on its word. What either entry
 * knows of the store may be 1 s old.
 */
const CONFIRMED_MS = REWRITE_MS + 1000;
/** A store that has not answered for longer may be in an outage that no call has noticed yet. */
const ANSWERED_MS = 700;

/** Follows the platform's store: reads everything once, then polls for changes. */
export class Follower {
  private revision = 0 as Revision;

  private version = -1;

  private readonly list: UpstreamList;

  /** Keys that this system writes, with the last change of each. */
  private readonly ownKeys = new Map<string, OwnKey>();

  private isComplete = false;

  private isStopped = false;

  private failingSinceMs: Ms | undefined;

  /** When the answer to the call under way is due: a store that does not answer a watch may have nothing to tell. */
  private answerDueAtMs: Ms = 0;

  /** Since when the store is silent: when the answer to the first of the calls in a row that failed was due. */
  private unansweredSinceMs: Ms = 0;

  /** All changes up to this time are known. */
  private knownAtMs: Ms = -Infinity;

  private answeredAtMs: Ms = -Infinity;

  private regainedAtMs: Ms = -Infinity;

  /** When this process first knew the whole state. */
  private completedAtMs: Ms = Infinity;

  constructor(private readonly options: FollowerOptions) {
    const { codec, listener, clock, log } = options;
    const ageMs = () => this.knownAgeMs();
    const isStoreReached = () =>
      this.failingSinceMs === undefined && clock.nowMs() - this.answeredAtMs <= ANSWERED_MS;
    this.list = new UpstreamList({ codec, listener, clock, log, ageMs, isStoreReached });
  }

  /** Follows the store until `stop` is called. */
  async run(): Promise<void> {
    let retryMs = FIRST_PAUSE_MS;
    while (!this.isStopped) {
      const sentAtMs = this.options.clock.nowMs();
      const wasComplete = this.isComplete;
      const failure = wasComplete ? await this.follow() : await this.readAll();
      if (failure === undefined) {
        retryMs = FIRST_PAUSE_MS;
        await this.pause(this.options.pace().batchMs);
        continue;
      }
      // The store has answered; the whole state has to be read instead.
      if (wasComplete && failure.type === 'store-compacted') continue;
      this.lost(failure);
      // A call that was long without an answer has waited already.
      const tookMs = this.options.clock.nowMs() - sentAtMs;
      await this.pause(Math.max(FIRST_PAUSE_MS, retryMs - tookMs));
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Returns for how long the store has not answered, in ms; 0 while it does. */
  silentMs(): Ms {
    return this.failingSinceMs === undefined ? 0 : this.options.clock.nowMs() - this.failingSinceMs;
  }

  /** Returns for how long the store has answered without a break, in ms. */
  steadyMs(): Ms {
    if (this.failingSinceMs !== undefined) return 0;
    return this.options.clock.nowMs() - this.regainedAtMs;
  }

  /** Returns for how long the store is known to have answered this process without a break, in ms. */
  reachedMs(): Ms {
    const completeMs = this.options.clock.nowMs() - this.completedAtMs;
    return Math.max(0, Math.min(this.steadyMs(), completeMs));
  }

  /**
   * Believes removals if the store has answered another entry for long enough: only this entry was cut off, or all
   * records that expired have been written again.
   */
  confirm(reachedMs: Ms): void {
    if (reachedMs >= CONFIRMED_MS) this.list.trust();
  }

  /** Returns the greatest possible age of this entry's state of the store, in ms. */
  knownAgeMs(): Ms {
    return this.options.clock.nowMs() - this.knownAtMs;
  }

  private async readAll(): Promise<StoreFailure | undefined> {
    const sentAtMs = this.options.clock.nowMs();
    this.answerDueAtMs = sentAtMs;
    const answer = await this.options.feed.list(this.options.codec.watchedPrefix);
    if (answer.err) return answer.val;
    this.storeAnswered();
    this.knownAtMs = sentAtMs;
    const { items, revision } = answer.val;
    const present = new Set<UpstreamId>();
    for (const item of items) {
      this.put(item);
      const id = this.options.codec.upstreamOf(item.key);
      if (id !== undefined) present.add(id as UpstreamId);
    }
    this.list.retain(present, revision);
    this.list.dropLapsed();
    const keys = new Set(items.map(({ key }) => key));
    for (const [key, { isDeleted }] of this.ownKeys) {
      if (!isDeleted && !keys.has(key)) this.ownKeyChanged(key, revision, undefined);
    }
    this.advanceTo(revision);
    this.isComplete = true;
    if (this.completedAtMs === Infinity) this.completedAtMs = this.options.clock.nowMs();
    this.options.log.info('state read', { revision, items: items.length, version: this.version });
    this.options.listener.complete();
    return undefined;
  }

  private async follow(): Promise<StoreFailure | undefined> {
    // While the store is lost, a call that waits for changes would only be slower to notice that it is back.
    const waitMs = this.failingSinceMs === undefined ? this.options.pace().waitMs : 0;
    const sentAtMs = this.options.clock.nowMs();
    this.answerDueAtMs = sentAtMs + waitMs;
    const answer = await this.options.feed.changes(
      this.options.codec.watchedPrefix,
      this.revision,
      waitMs,
    );
    if (answer.err) {
      if (answer.val.type === 'store-compacted') this.isComplete = false;
      return answer.val;
    }
    this.storeAnswered();
    for (const change of answer.val.changes) {
      if (change.type === 'put') this.put(change.item);
      else this.deleted(change.key, change.revision);
    }
    // Only now, as the changes may show that an upstream has written its record again.
    this.list.dropLapsed();
    this.advanceTo(answer.val.revision);
    // Another entry may have read the changes for this one, at most this long ago.
    this.knownAtMs = Math.max(this.knownAtMs, sentAtMs - MAX_SHARED_AGE_MS);
    return undefined;
  }

  private put(item: KeyValue): void {
    const { codec } = this.options;
    const id = codec.upstreamOf(item.key);
    if (id !== undefined) this.list.put(id as UpstreamId, item);
    else if (codec.isTable(item.key)) this.putTable(item);
    else if (item.key.startsWith(codec.ownPrefix)) {
      this.ownKeyChanged(item.key, item.revision, item);
    }
  }

  private putTable({ value, revision }: KeyValue): void {
    const table = this.options.codec.decodeTable(value);
    if (table.err) {
      const { detail } = table.val;
      this.options.log.error('configuration not readable', {
        revision,
        detail,
        inForce: this.version,
      });
      return;
    }
    const { version } = table.val;
    if (version <= this.version) return;
    const ageMs = Math.round(this.knownAgeMs());
    const fields = { version, before: this.version, revision, ageMs };
    this.options.log.info('configuration in force', fields);
    this.version = version;
    this.options.listener.setTable(table.val);
  }

  private deleted(key: string, revision: Revision): void {
    const id = this.options.codec.upstreamOf(key) as UpstreamId | undefined;
    if (id !== undefined) this.list.removed(id, revision);
    else if (key.startsWith(this.options.codec.ownPrefix)) {
      this.ownKeyChanged(key, revision, undefined);
    }
  }

  /** Passes on a change of a key that this system writes, unless a later one is known: changes may come again. */
  private ownKeyChanged(key: string, revision: Revision, item: KeyValue | undefined): void {
    const known = this.ownKeys.get(key);
    if (known && revision <= known.revision) return;
    this.ownKeys.set(key, { revision, isDeleted: item === undefined });
    this.options.listener.ownKeyChanged(key, item);
  }

  /** All changes up to this revision are known, and none of them comes again. */
  private advanceTo(revision: Revision): void {
    this.revision = revision;
    for (const [key, own] of this.ownKeys) {
      if (own.isDeleted && own.revision <= revision) this.ownKeys.delete(key);
    }
  }

  private lost({ type, detail }: StoreFailure): void {
    if (this.failingSinceMs !== undefined) return;
    this.failingSinceMs = this.options.clock.nowMs();
    this.unansweredSinceMs = Math.min(this.failingSinceMs, this.answerDueAtMs);
    this.options.log.warn('store lost', { failure: type, detail, revision: this.revision });
  }

  private storeAnswered(): void {
    const nowMs = this.options.clock.nowMs();
    this.answeredAtMs = nowMs;
    if (this.failingSinceMs === undefined) return;
    const unansweredMs = nowMs - this.unansweredSinceMs;
    this.options.log.info('store regained', {
      afterMs: Math.round(nowMs - this.failingSinceMs),
      unansweredMs: Math.round(unansweredMs),
    });
    this.failingSinceMs = undefined;
    this.regainedAtMs = nowMs;
    // A record expires only after several missed heartbeats; a shorter failure removed none.
    if (unansweredMs >= this.options.heartbeatMs) this.list.distrust(REWRITE_MS);
  }

  private pause(ms: Ms): Promise<void> {
    return new Promise((resolve) => {
      this.options.clock.after(ms, resolve);
    });
  }
}
