import type { Clock, Ms, UpstreamId } from '../../src/base/index.js';
import { OriginHistory, type Member } from '../../src/core/origin/index.js';
import type { RouteTable } from '../../src/core/routetable/index.js';
import type { Upstream } from '../../src/core/upstreams/index.js';
import type { StateCodec } from '../../src/direct/index.js';
import { Origins, OriginStore, VersionKeeper } from '../../src/direct/origin/index.js';
import { Fleet } from '../../src/direct/route/index.js';
import { Follower, paceTable, SharedFeed } from '../../src/direct/sync/index.js';
import type { KeyValue, Log } from '../../src/port/index.js';
import type { ListStore } from './liststore.js';

type Answer = Awaited<ReturnType<SharedFeed['changes']>>;
type ChangesRequest = Parameters<SharedFeed['answer']>[0];

interface ListEntryOptions {
  readonly name: string;
  readonly clock: Clock;
  readonly codec: StateCodec;
  readonly store: ListStore;
  /** Key under which the holder of the lease writes its name. */
  readonly leaseKey: string;
  /** Returns another entry; undefined if there is none of that name. */
  readonly peer: (name: string) => ListEntry | undefined;
  readonly log: Log;
  /** How often it takes upstreams to write their records. */
  readonly heartbeatMs: Ms;
  /** Replaces parts of the entry, to plant a defect. */
  readonly parts?: Parts | undefined;
}

interface Parts {
  readonly history?: () => OriginHistory;
  readonly origins?: (
    options: ConstructorParameters<typeof Origins>[0],
  ) => ConstructorParameters<typeof Origins>[0];
}

const VERSIONS_KEY = 'tarragonstile/stream-versions';
const ORIGINS_PREFIX = 'tarragonstile/stream-origins/';
const SILENT_METRICS = { count() {}, gauge() {}, histogram() {} };
const COPY_TIMEOUT_MS = 2000;
const ASK_TIMEOUT_MS = 150;
const LATENCY_MS = 1;
/** How much longer than its wait an entry waits for another entry's answer. */
const MARGIN_MS = 200;
/** After a suspension: the next check of the clock, and the turn of the event loop that reads a new connection. */
const LATE_TIMERS_MS = 50;
const LATE_READ_MS = 20;

/** One process of an entry that follows the list of upstreams, directly or through the holder of the lease. */
export class ListEntry {
  fleet = new Fleet('z');

  history = new OriginHistory();

  origins: Origins;

  private versionKeeper: VersionKeeper;

  private originStore: OriginStore;

  /** Entries that it knows, itself among them. */
  members: readonly Member[] = [];

  /** Routes in force at every process. */
  table: RouteTable | undefined;

  /** When its process first knew the whole list. */
  completedAtMs: Ms = Infinity;

  private frozenUntilMs: Ms = -Infinity;

  private cutUntilMs: Ms = -Infinity;

  private isolatedUntilMs: Ms = -Infinity;

  /** Calls of other entries that arrived before are handled only now. */
  private readsPeersAtMs: Ms = -Infinity;

  /** Timers that were due before fire only now. */
  private timersFromMs: Ms = -Infinity;

  private failingCalls = 0;

  private holder: string | undefined;

  private feed!: ReturnType<ListStore['feed']>;

  private shared: SharedFeed;

  private follower: Follower;

  private process = 0;

  constructor(private readonly options: ListEntryOptions) {
    [this.shared, this.follower] = this.start();
    this.originStore = this.createOriginStore();
    this.origins = this.createOrigins();
    this.versionKeeper = this.createVersionKeeper();
  }

  get name(): string {
    return this.options.name;
  }

  get isFrozen(): boolean {
    return this.options.clock.nowMs() < this.frozenUntilMs;
  }

  get isCut(): boolean {
    return this.options.clock.nowMs() < this.cutUntilMs;
  }

  private get isIsolated(): boolean {
    return this.options.clock.nowMs() < this.isolatedUntilMs;
  }

  get isHolder(): boolean {
    return this.holder === this.options.name;
  }

  freeze(forMs: Ms): void {
    this.frozenUntilMs = this.options.clock.nowMs() + forMs;
  }

  /**
   * Suspends its host: time goes on for its clock, its timers are late by a check of the clock, and it reads what other
   * entries have sent after what its callers have, as new connections are accepted first.
   */
  suspend(forMs: Ms): void {
    this.freeze(forMs);
    this.readsPeersAtMs = this.frozenUntilMs + LATE_READ_MS;
    this.timersFromMs = this.frozenUntilMs + LATE_TIMERS_MS;
  }

  /** Cuts the entry off from the store; other entries still reach it. */
  cut(forMs: Ms): void {
    this.cutUntilMs = this.options.clock.nowMs() + forMs;
  }

  /** Cuts the entry off from the store and from all other entries. */
  isolate(forMs: Ms): void {
    this.cut(forMs);
    this.isolatedUntilMs = this.cutUntilMs;
  }

  /** Cuts the entry off from all other entries; it still reaches the store. */
  cutPeers(forMs: Ms): void {
    this.isolatedUntilMs = this.options.clock.nowMs() + forMs;
  }

  /** Lets the next calls to the store fail, as the store may refuse any call. */
  failCalls(count: number): void {
    this.failingCalls = count;
  }

  /** Starts a new process, which knows nothing. */
  restart(): void {
    this.end();
    [this.shared, this.follower] = this.start();
    this.originStore = this.createOriginStore();
    this.origins = this.createOrigins();
    this.versionKeeper = this.createVersionKeeper();
  }

  /** Ends the process; another one starts after a while. */
  kill(forMs: Ms): void {
    this.end();
    this.process += 1;
    this.freeze(forMs);
    this.options.clock.after(forMs, () => this.restart());
  }

  private end(): void {
    this.follower.stop();
    this.holder = undefined;
    this.completedAtMs = Infinity;
    this.fleet = new Fleet('z');
  }

  /** Answers another entry's request for changes; never if this entry is frozen. */
  async answer(request: ChangesRequest): Promise<Answer | undefined> {
    const { process } = this;
    if (this.isFrozen) return new Promise(() => {});
    const answer = await this.shared.answer(request);
    await this.whenRunning();
    return process === this.process ? answer : undefined;
  }

  /** Does what a process does several times a second. */
  tick(): void {
    if (this.isFrozen) return;
    if (this.completedAtMs < Infinity) this.versionKeeper.tick();
    this.origins.tick();
  }

  /** Reports to the holder that this entry knows, and hears its answer, unless one of them is frozen or cut off. */
  report(): void {
    if (this.holder === undefined || this.isHolder || this.isFrozen) return;
    const holder = this.options.peer(this.holder);
    if (!holder?.isHolder || holder.isFrozen || this.isIsolated || holder.isIsolated) return;
    holder.follower.confirm(this.follower.reachedMs());
    this.follower.confirm(holder.follower.reachedMs());
  }

  /** Returns true if this entry would send a request to the upstream now. */
  maySend(id: UpstreamId): boolean {
    const info = this.fleet.get(id)?.info;
    return info !== undefined && !info.isLeaving;
  }

  /** Answers another entry's call, if this process runs and the network lets it. */
  async call<T>(act: () => T): Promise<T | undefined> {
    const { process } = this;
    await this.whenRunning();
    await this.until(this.readsPeersAtMs);
    return process === this.process && !this.isIsolated ? act() : undefined;
  }

  /** Calls another entry; undefined if it does not answer in time. */
  private async callPeer<T>(
    address: string,
    timeoutMs: Ms,
    act: (peer: ListEntry) => T,
  ): Promise<T | undefined> {
    const { clock, peer } = this.options;
    const later = (ms: Ms) =>
      new Promise<undefined>((resolve) => {
        clock.after(ms, () => resolve(undefined));
      });
    const { process } = this;
    const reach = async () => {
      await later(LATENCY_MS);
      const other = peer(address);
      return other && !this.isIsolated ? other.call(() => act(other)) : later(timeoutMs);
    };
    const got = await Promise.race([reach(), later(timeoutMs)]);
    await this.whenRunning();
    return process === this.process ? got : new Promise(() => {});
  }

  private createOrigins(): Origins {
    const { name, log, parts } = this.options;
    const options: ConstructorParameters<typeof Origins>[0] = {
      clock: this.ownClock(),
      log,
      metrics: SILENT_METRICS,
      entry: name,
      history: this.history,
      members: () => this.members,
      listAgeMs: () => this.follower.knownAgeMs(),
      copy: async (address, copies) => {
        const received = (peer: ListEntry) => {
          peer.origins.receive(copies);
          return true;
        };
        return (await this.callPeer(address, COPY_TIMEOUT_MS, received)) ?? false;
      },
      store: (copy) => this.originStore.add(copy),
      ask: (address, id) =>
        this.callPeer(address, ASK_TIMEOUT_MS, (peer) => peer.origins.answer(id)),
    };
    return new Origins(parts?.origins?.(options) ?? options);
  }

  private createOriginStore(): OriginStore {
    return new OriginStore({
      clock: this.ownClock(),
      log: this.options.log,
      metrics: SILENT_METRICS,
      prefix: ORIGINS_PREFIX,
      tellHolder: async (copies) => {
        const { holder } = this;
        if (holder === undefined || this.isHolder) return false;
        const stored = (peer: ListEntry) => {
          if (peer.isHolder) peer.originStore.write(copies);
          return peer.isHolder;
        };
        return (await this.callPeer(holder, ASK_TIMEOUT_MS, stored)) ?? false;
      },
      swap: (swap) => this.feed.swap(swap),
      receive: (copies) => this.origins.receive(copies),
    });
  }

  private createVersionKeeper(): VersionKeeper {
    const { log, name } = this.options;
    const { history, fleet } = this;
    return new VersionKeeper({
      clock: this.ownClock(),
      log,
      entry: name,
      key: VERSIONS_KEY,
      history,
      isHolder: () => this.isHolder,
      listAgeMs: () => this.follower.knownAgeMs(),
      swap: (swap) => this.feed.swap(swap),
      changed: () => {
        fleet.setStreamGate((upstream) => history.mayBegin(upstream));
        this.origins.tick();
      },
    });
  }

  private start(): [SharedFeed, Follower] {
    this.process += 1;
    this.history = this.options.parts?.history?.() ?? new OriginHistory();
    if (this.table) this.history.table(this.table, this.options.clock.nowMs());
    const { codec, store, log, name } = this.options;
    const clock = this.ownClock();
    const failsNow = () => {
      if (this.failingCalls === 0) return false;
      this.failingCalls -= 1;
      return true;
    };
    this.fleet.setStreamGate((upstream) => this.history.mayBegin(upstream));
    const feed = this.whileRunning(store.feed({ isOpen: () => !this.isCut, failsNow }));
    this.feed = feed;
    const sharer = () => (this.holder === name ? undefined : this.holder);
    const ask = (to: string, request: ChangesRequest) => this.ask(to, request);
    const shared = new SharedFeed({ feed: feed as never, codec, clock, log, sharer, ask });
    const pace = () => {
      if (shared.isShared()) return paceTable.shared;
      return this.isHolder ? paceTable.sharer : paceTable.alone;
    };
    const listener = this.listener(this.fleet);
    const { heartbeatMs } = this.options;
    const options = { feed: shared, codec, listener, clock, log, pace, heartbeatMs };
    const follower = new Follower(options);
    void follower.run();
    return [shared, follower];
  }

  private listener(fleet: Fleet): ConstructorParameters<typeof Follower>[0]['listener'] {
    const nowMs = () => this.options.clock.nowMs();
    let hasPredecessor = false;
    return {
      setTable() {},
      upstream: (upstream: Upstream) => {
        fleet.put(upstream);
        this.history.upstream(upstream, nowMs());
      },
      upstreamGone: (id: UpstreamId) => {
        fleet.remove(id);
        this.history.upstreamGone(id, nowMs());
      },
      upstreamRestarted: (upstream: Upstream) => {
        fleet.remove(upstream.id);
        fleet.put(upstream);
        this.history.upstream(upstream, nowMs());
      },
      ownKeyChanged: (key: string, item: KeyValue | undefined) => {
        if (key === this.options.leaseKey) this.holder = item?.value;
        if (key === VERSIONS_KEY) {
          hasPredecessor = true;
          this.versionKeeper.heard(item);
        }
        if (key.startsWith(ORIGINS_PREFIX)) this.originStore.heard(key, item);
      },
      complete: () => {
        this.history.complete(this.table?.version, hasPredecessor, nowMs());
        this.completedAtMs = Math.min(this.completedAtMs, this.options.clock.nowMs());
      },
    };
  }

  /** A clock whose timers wait until the entry is not frozen, and fire no more once its process has ended. */
  ownClock(): Clock {
    const { clock } = this.options;
    const { process } = this;
    return {
      nowMs: () => clock.nowMs(),
      wallMs: () => clock.wallMs(),
      after: (delayMs, act) => {
        let isCancelled = false;
        clock.after(delayMs, () => {
          void this.whenRunning()
            .then(() => this.until(this.timersFromMs))
            .then(() => {
              if (!isCancelled && process === this.process) act();
            });
        });
        return () => {
          isCancelled = true;
        };
      },
    };
  }

  /** Resolves once the entry is not frozen. */
  whenRunning(): Promise<void> {
    return this.until(this.frozenUntilMs);
  }

  private until(atMs: Ms): Promise<void> {
    const { clock } = this.options;
    const leftMs = atMs - clock.nowMs();
    if (leftMs <= 0) return Promise.resolve();
    return new Promise((resolve) => {
      clock.after(leftMs, resolve);
    });
  }

  /** Delivers a feed's answers only while the entry is not frozen, and to the process that asked. */
  private whileRunning(feed: ReturnType<ListStore['feed']>): ReturnType<ListStore['feed']> {
    const { process } = this;
    const deliver = async <T>(answer: Promise<T>): Promise<T> => {
      const got = await answer;
      await this.whenRunning();
      return process === this.process ? got : new Promise<T>(() => {});
    };
    return {
      list: (prefix) => deliver(feed.list(prefix)),
      swap: (swap) => deliver(feed.swap(swap)),
      changes: (...args) => deliver(feed.changes(...args)),
    };
  }

  private async ask(to: string, request: ChangesRequest): Promise<Answer | undefined> {
    const { clock, peer } = this.options;
    const own = this.ownClock();
    const timeout = new Promise<undefined>((resolve) => {
      own.after(request.waitMs + MARGIN_MS, () => resolve(undefined));
    });
    const latency = () =>
      new Promise<void>((resolve) => {
        clock.after(LATENCY_MS, resolve);
      });
    const other = peer(to);
    const reach = () => {
      const isReached = other !== undefined && !this.isIsolated && !other.isIsolated;
      return isReached ? other.answer(request) : new Promise<undefined>(() => {});
    };
    const answer = latency().then(reach);
    const got = await Promise.race([answer, timeout]);
    await this.whenRunning();
    return got;
  }
}
