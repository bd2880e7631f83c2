import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { VirtualClock, type Ms, type UpstreamId } from '../../src/base/index.js';
import type { StateCodec } from '../../src/direct/index.js';
import type { Log } from '../../src/port/index.js';
import { ListEntry } from './listentry.js';
import { ListServer } from './listserver.js';
import { ListStore } from './liststore.js';

/** Mean number of events of each kind in a minute. */
interface Rates {
  readonly drain?: number;
  readonly leave?: number;
  readonly crash?: number;
  /** A server starts again under its id, with other software. */
  readonly startAgain?: number;
  /** All servers leave at once, and others take their place. */
  readonly replaceAll?: number;
  readonly cutServer?: number;
  readonly writeLate?: number;
  readonly overwrite?: number;
  /** Single calls of one entry to the store that fail. */
  readonly failCalls?: number;
  readonly cutWatches?: number;
  readonly compact?: number;
  /** Watches hear nothing for a second, then the history is discarded. */
  readonly mute?: number;
  readonly down?: number;
  readonly freeze?: number;
  readonly cutEntry?: number;
  readonly isolate?: number;
  /** An entry is cut off from the others, not from the store. */
  readonly cutPeers?: number;
  readonly suspend?: number;
  readonly restart?: number;
  /** All entries are killed at once; in half of the cases all servers are replaced before, at or after it. */
  readonly restartAll?: number;
}

interface ListWorldOptions {
  readonly seed: number;
  readonly rates: Rates;
  readonly codec: StateCodec;
  readonly entryCount?: number;
  /** Longest trouble of an entry, over 300 ms. */
  readonly troubleMs?: Ms;
  /** How long after its trouble an entry is bound again. */
  readonly contactMs?: Ms;
  /** How often the entries take upstreams to write their records. */
  readonly heartbeatMs?: Ms;
  readonly log?: (entry: string) => Log;
  /** Returns the software version of the next server. */
  readonly softwareVersion?: () => string;
  /** Replaces parts of the entries, to plant a defect. */
  readonly parts?: ConstructorParameters<typeof ListEntry>[0]['parts'];
}

/** An entry that would send to a server that leaves, or that does not know a server that is ready. */
interface Finding {
  readonly rule: 'leaving' | 'missing';
  readonly entry: string;
  readonly server: UpstreamId;
  readonly atMs: Ms;
  /** How long after the acknowledgement, or after the record was listed. */
  readonly afterMs: Ms;
  readonly what: string;
}

const LEASE_KEY = 'tarragonstile/order-turn';
/** Requests may reach a server for this long after the store's acknowledgement that it leaves. */
const DRAIN_MS = 2000;
/** A machine or store that was disturbed binds nobody for this long after. */
const CONTACT_MS = 3000;
/** A server is known to every entry this long after its record was listed. */
const KNOWN_MS = 3000;
const LEASE_MS = 2200;
const REPORT_MS = 250;
const HEARTBEAT_MS = 1200;
const SERVER_COUNT = 12;
const ENTRY_COUNT = 5;
const STEP_MS = 10;
const KILL_AFTER_MS = 1500;
const TROUBLE_MS = 3500;
/** Turns of the microtask queue after which every promise that is due has been settled. */
const SETTLE_TURNS = 16;
const MS_PER_MINUTE = 60_000;
const SILENT_LOG: Log = { info() {}, warn() {}, error() {} };

/** Entries that follow the list of servers through one store, with disturbances, judged against the store's word. */
export class ListWorld {
  readonly clock = new VirtualClock();

  readonly findings: Finding[] = [];

  readonly store = new ListStore(this.clock);

  readonly entries: ListEntry[] = [];

  private readonly generator;

  readonly servers: ListServer[] = [];

  /** Entries with the end of their last trouble. */
  private readonly troubledUntilMs = new Map<ListEntry, Ms>();

  private readonly found = new Set<string>();

  private startedCount = 0;

  private holder = 0;

  private holderLostAtMs: Ms | undefined;

  constructor(private readonly options: ListWorldOptions) {
    const { seed, codec, entryCount = ENTRY_COUNT, heartbeatMs = HEARTBEAT_MS, log } = options;
    const { parts } = options;
    this.generator = xoroshiro128plus(seed);
    while (this.servers.length < SERVER_COUNT) this.startServer();
    const { clock, store } = this;
    for (let at = 0; at < entryCount; at += 1) {
      const name = `e${at}`;
      const peer = (of: string) => this.entries.find((entry) => entry.name === of);
      const shared = { clock, codec, store, leaseKey: LEASE_KEY, peer, heartbeatMs, parts };
      this.entries.push(new ListEntry({ ...shared, name, log: log?.(name) ?? SILENT_LOG }));
    }
    this.takeLease(0);
    this.reportAll();
  }

  /** Returns how many servers the store has acknowledged to leave or to be gone. */
  get leaverCount(): number {
    return this.servers.filter(({ ack }) => ack !== undefined).length;
  }

  async run(forMs: Ms): Promise<void> {
    const untilMs = this.clock.nowMs() + forMs;
    while (this.clock.nowMs() < untilMs) {
      this.cause();
      this.onStep();
      this.keepLease();
      for (let turn = 0; turn < SETTLE_TURNS; turn += 1) await Promise.resolve();
      this.clock.advanceTo(this.clock.nowMs() + STEP_MS);
      this.judge();
    }
  }

  /** Called at every step. */
  onStep: () => void = () => {};

  private reportAll(): void {
    for (const entry of this.entries) entry.report();
    this.clock.after(REPORT_MS, () => this.reportAll());
  }

  private random(below: number): number {
    return uniformFloat64(this.generator) * below;
  }

  private pick<T>(from: readonly T[]): T | undefined {
    return from[Math.floor(this.random(from.length))];
  }

  private startServer(): void {
    this.startedCount += 1;
    const id = `u${this.startedCount}` as UpstreamId;
    const version = this.options.softwareVersion?.();
    const isStable = () => this.isStable();
    this.servers.push(new ListServer(id, this.clock, this.store, isStable, version));
  }

  isStable(): boolean {
    return this.clock.nowMs() - this.store.disturbedAtMs >= CONTACT_MS;
  }

  isInTouch(entry: ListEntry): boolean {
    const { contactMs = CONTACT_MS } = this.options;
    return this.clock.nowMs() - (this.troubledUntilMs.get(entry) ?? -Infinity) >= contactMs;
  }

  /** Lets each kind of event happen at its rate. */
  private cause(): void {
    for (const [kind, rate] of Object.entries(this.options.rates)) {
      if (this.random(MS_PER_MINUTE) < rate * STEP_MS) this.events[kind as keyof Rates]();
    }
  }

  private readonly events: Readonly<Record<keyof Rates, () => void>> = {
    drain: () => {
      this.pick(this.ready())?.drain(2000 + this.random(3000));
      this.startServer();
    },
    leave: () => {
      this.pick(this.ready())?.leave();
      this.startServer();
    },
    crash: () => {
      this.pick(this.ready())?.crash();
      this.startServer();
    },
    startAgain: () => this.pick(this.ready())?.startAgain(this.options.softwareVersion?.()),
    replaceAll: () => {
      for (const server of this.ready()) {
        server.leave();
        this.startServer();
      }
    },
    cutServer: () => this.pick(this.ready())?.cut(1000 + this.random(6000)),
    writeLate: () => {
      const server = this.pick(this.ready());
      server?.writeLate(500 + this.random(5000));
      // The server is told to leave while its write is under way.
      if (server && this.random(1) < 0.5) {
        this.clock.after(this.random(400), () => server.drain(2000 + this.random(4000)));
        this.startServer();
      }
    },
    overwrite: () => this.pick(this.servers)?.overwrite(),
    failCalls: () => this.pick(this.entries)?.failCalls(1 + Math.floor(this.random(2))),
    cutWatches: () => this.store.cutWatches(),
    compact: () => this.store.compact(),
    mute: () => this.store.mute(1000),
    down: () => {
      const how = this.random(1) < 0.5 ? 'silent' : 'refusing';
      if (!this.store.isDown) this.store.fail(how, 200 + this.random(6000));
    },
    freeze: () => this.trouble((entry, forMs) => entry.freeze(forMs)),
    cutEntry: () => this.trouble((entry, forMs) => entry.cut(forMs)),
    isolate: () => this.trouble((entry, forMs) => entry.isolate(forMs)),
    cutPeers: () => this.trouble((entry, forMs) => entry.cutPeers(forMs)),
    suspend: () => this.trouble((entry, forMs) => entry.suspend(forMs)),
    restart: () => this.trouble((entry) => entry.restart()),
    restartAll: () => this.killAll(),
  };

  private ready(): ListServer[] {
    return this.servers.filter(({ isReady }) => isReady);
  }

  private killAll(): void {
    const inMs = this.random(KILL_AFTER_MS);
    const forMs = 200 + this.random(KILL_AFTER_MS);
    if (this.random(1) < 0.5) this.clock.after(this.random(inMs + forMs), this.events.replaceAll);
    this.clock.after(inMs, () => {
      for (const entry of this.entries) {
        this.troubledUntilMs.set(entry, this.clock.nowMs() + forMs);
        entry.kill(forMs);
      }
    });
  }

  /** Troubles one entry, most often the holder, unless another one is in trouble. */
  private trouble(act: (entry: ListEntry, forMs: Ms) => void): void {
    const nowMs = this.clock.nowMs();
    if (this.entries.some((entry) => (this.troubledUntilMs.get(entry) ?? 0) > nowMs)) return;
    const entry = this.random(1) < 0.7 ? this.entries[this.holder]! : this.pick(this.entries)!;
    const { troubleMs = TROUBLE_MS } = this.options;
    const forMs = 300 + this.random(troubleMs);
    this.troubledUntilMs.set(entry, nowMs + forMs);
    act(entry, forMs);
  }

  /** Passes the lease on when its holder has been unable to renew it. */
  private keepLease(): void {
    const holder = this.entries[this.holder]!;
    const nowMs = this.clock.nowMs();
    if (!holder.isFrozen && !holder.isCut) {
      this.holderLostAtMs = undefined;
      return;
    }
    this.holderLostAtMs ??= nowMs;
    if (nowMs - this.holderLostAtMs < LEASE_MS) return;
    const next = this.entries.findIndex((entry) => !entry.isFrozen && !entry.isCut);
    if (next >= 0) this.takeLease(next);
  }

  private takeLease(at: number): void {
    if (!this.store.put(LEASE_KEY, this.entries[at]!.name)) return;
    this.holder = at;
    this.holderLostAtMs = undefined;
  }

  private judge(): void {
    const entries = this.entries.filter((entry) => this.isInTouch(entry));
    for (const server of this.servers) {
      const listedMs = this.clock.nowMs() - server.listedSinceMs;
      if (listedMs > KNOWN_MS && this.isStable()) server.isEstablished = true;
      for (const entry of entries) this.judgeServer(server, entry);
    }
  }

  private judgeServer(server: ListServer, entry: ListEntry): void {
    const { ack, id, listedSinceMs, isEstablished } = server;
    const nowMs = this.clock.nowMs();
    const maySend = entry.maySend(id);
    if (ack?.isStable) {
      const afterMs = nowMs - ack.atMs;
      const isBinding = this.isStable() && afterMs > DRAIN_MS;
      if (maySend && isBinding) this.add('leaving', entry, server, afterMs, ack.what);
      return;
    }
    // A process that has read the list since a record expired cannot know the server.
    const knownFromMs = ack?.atMs ?? nowMs - KNOWN_MS;
    const knowsServer = entry.completedAtMs < knownFromMs && !this.store.isMuted;
    if (!maySend && isEstablished && knowsServer) {
      this.add('missing', entry, server, nowMs - listedSinceMs, ack?.what ?? 'ready');
    }
  }

  private add(
    rule: Finding['rule'],
    entry: ListEntry,
    { id }: ListServer,
    afterMs: Ms,
    what: string,
  ): void {
    const key = `${rule} ${entry.name} ${id}`;
    if (this.found.has(key)) return;
    this.found.add(key);
    const atMs = this.clock.nowMs();
    this.findings.push({ rule, entry: entry.name, server: id, atMs, afterMs, what });
  }
}
