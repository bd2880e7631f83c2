import test from 'ava';
import fc from 'fast-check';
import { result, VirtualClock, type Revision, type UpstreamId } from '../src/base/index.js';
import type { RouteTable } from '../src/core/routetable/index.js';
import type { StateCodec } from '../src/direct/index.js';
import { Follower, paceTable } from '../src/direct/sync/index.js';
import type { ChangeFeed, Log } from '../src/port/index.js';
import { codec } from '../platform/codec.js';
import { serverRecord } from './support/serverrecord.js';

type ChangesAnswer = Awaited<ReturnType<ChangeFeed['changes']>>;
type Listed = Awaited<ReturnType<ChangeFeed['list']>>;
type Change = Extract<ChangesAnswer, { ok: true }>['val']['changes'][number];

/** For more runs: PROPERTY_RUNS=100000 npx ava --timeout 30m dist/test/followerproperty.test.js. */
const RUNS = Number(process.env.PROPERTY_RUNS ?? 150);
const LOG: Log = { info() {}, warn() {}, error() {} };
const IDS = ['u1', 'u2', 'u3'];
const STEP_MS = 25;
const REWRITE_MS = 2100;
const HEARTBEAT_MS = 1200;
/** Longest wait of a request and the pause before the next. */
const POLL_MS = paceTable.alone.waitMs + paceTable.alone.batchMs;

/** An event at the store. */
type Event =
  | { readonly type: 'configure' }
  | { readonly type: 'write'; readonly id: string }
  | { readonly type: 'leave'; readonly id: string }
  | { readonly type: 'down'; readonly forMs: number }
  | { readonly type: 'compact' }
  /** The next answer repeats this many earlier changes, like an answer that was delayed. */
  | { readonly type: 'old'; readonly changes: number };

const event: fc.Arbitrary<Event> = fc.oneof(
  fc.record({ type: fc.constant('configure' as const) }),
  fc.record({ type: fc.constant('write' as const), id: fc.constantFrom(...IDS) }),
  fc.record({ type: fc.constant('leave' as const), id: fc.constantFrom(...IDS) }),
  fc.record({ type: fc.constant('down' as const), forMs: fc.nat(4000) }),
  fc.record({ type: fc.constant('compact' as const) }),
  fc.record({ type: fc.constant('old' as const), changes: fc.nat(6) }),
);
const day = fc.array(fc.record({ afterMs: fc.nat(900), event }), { maxLength: 30 });

function addressOf(id: string): string {
  return `10.0.0.${id.slice(1)}:1`;
}

function configuration(version: number): string {
  const limits = {
    max_header_bytes: 1,
    max_body_bytes: 1,
    header_timeout_ms: 1,
    idle_timeout_ms: 1,
  };
  return JSON.stringify({ version, routes: [], services: [], limits });
}

/** A store with outages, compactions and delayed answers, and a follower of it. */
class World {
  readonly clock = new VirtualClock();

  /** Versions in the order in which they took effect. */
  readonly versions: number[] = [];

  readonly known = new Set<string>();

  /** Servers without a record, with the time of its deletion. */
  readonly leftAtMs = new Map<string, number>();

  /** End of the last outage, or time of the last compaction. */
  disturbedAtMs = -Infinity;

  private readonly history: Change[] = [];

  private readonly items = new Map<string, string>();

  private version = 0;

  private forgotten = 0;

  private downUntilMs = -Infinity;

  private oldBy = 0;

  private readonly follower: Follower;

  constructor(guarded: StateCodec) {
    for (const id of IDS) this.put(`servers/${id}`, serverRecord({ address: addressOf(id) }));
    this.put('op/config', configuration(0));
    const feed = {
      list: () => this.list(),
      changes: (_: string, after: number) => this.ask(after),
    };
    const listener = {
      setTable: ({ version }: RouteTable) => {
        this.versions.push(version);
      },
      upstream: ({ id }: { id: UpstreamId }) => {
        this.known.add(id);
      },
      upstreamGone: (id: UpstreamId) => {
        this.known.delete(id);
      },
      upstreamRestarted() {},
      ownKeyChanged() {},
      complete() {},
    };
    this.follower = new Follower({
      feed,
      codec: guarded,
      listener,
      clock: this.clock,
      log: LOG,
      pace: () => paceTable.alone,
      heartbeatMs: HEARTBEAT_MS,
    });
    void this.follower.run();
  }

  async play(
    events: readonly { readonly afterMs: number; readonly event: Event }[],
  ): Promise<void> {
    for (const { afterMs, event: next } of events) {
      await this.advance(afterMs);
      this.happen(next);
    }
  }

  async advance(ms: number): Promise<void> {
    const untilMs = this.clock.nowMs() + ms;
    while (this.clock.nowMs() < untilMs) {
      for (let round = 0; round < 8; round += 1) await Promise.resolve();
      this.clock.advanceTo(this.clock.nowMs() + STEP_MS);
    }
  }

  stop(): void {
    this.follower.stop();
  }

  private happen(next: Event): void {
    const nowMs = this.clock.nowMs();
    if (next.type === 'configure') {
      this.version += 1;
      this.put('op/config', configuration(this.version));
    } else if (next.type === 'write') {
      this.put(`servers/${next.id}`, serverRecord({ address: addressOf(next.id) }));
      this.leftAtMs.delete(next.id);
    } else if (next.type === 'leave') this.leave(next.id);
    else if (next.type === 'old') this.oldBy = next.changes;
    else if (next.type === 'compact') {
      this.forgotten = this.history.length;
      this.disturbedAtMs = Math.max(this.disturbedAtMs, nowMs);
    } else {
      this.downUntilMs = Math.max(this.downUntilMs, nowMs + next.forMs);
      this.disturbedAtMs = Math.max(this.disturbedAtMs, this.downUntilMs);
    }
  }

  private put(key: string, value: string): void {
    this.items.set(key, value);
    const revision = (this.history.length + 1) as Revision;
    this.history.push({ type: 'put', item: { key, value, revision } });
  }

  private leave(id: string): void {
    const key = `servers/${id}`;
    if (!this.items.delete(key)) return;
    this.leftAtMs.set(id, this.clock.nowMs());
    this.history.push({ type: 'deleted', key, revision: (this.history.length + 1) as Revision });
  }

  private isDown(): boolean {
    return this.clock.nowMs() < this.downUntilMs;
  }

  private list(): Promise<Listed> {
    if (this.isDown()) {
      return Promise.resolve(result.Err({ type: 'store-unavailable', detail: 'down' }));
    }
    const revision = this.history.length as Revision;
    const items = [...this.items].map(([key, value]) => ({ key, value, revision }));
    return Promise.resolve(result.Ok({ items, revision }));
  }

  private ask(after: number): Promise<ChangesAnswer> {
    if (this.isDown()) {
      return Promise.resolve(result.Err({ type: 'store-unavailable', detail: 'down' }));
    }
    if (after < this.forgotten) {
      return Promise.resolve(result.Err({ type: 'store-compacted', detail: 'forgotten' }));
    }
    // A delayed answer repeats known changes, including the configuration of that time.
    const from = Math.max(0, after - this.oldBy);
    this.oldBy = 0;
    const changes = this.history.slice(from).filter((change) => {
      const isConfiguration = change.type === 'put' && change.item.key === 'op/config';
      const revision = change.type === 'put' ? change.item.revision : change.revision;
      return isConfiguration || revision > after;
    });
    return Promise.resolve(result.Ok({ changes, revision: this.history.length as Revision }));
  }
}

function isRising(versions: readonly number[]): boolean {
  return versions.every((version, at) => at === 0 || version > versions[at - 1]!);
}

test('configuration versions only rise and the last one takes effect, whatever happens at the store', async (t) => {
  await fc.assert(
    fc.asyncProperty(day, async (events) => {
      const world = new World(codec);
      await world.play(events);
      await world.advance(10_000);
      world.stop();
      const written = events.filter(({ event: { type } }) => type === 'configure').length;
      return isRising(world.versions) && world.versions.at(-1) === written;
    }),
    { numRuns: RUNS },
  );
  t.pass();
});

test('upstreams without a record are removed in time, also after an outage, and all others are kept', async (t) => {
  await fc.assert(
    fc.asyncProperty(day, async (events) => {
      const world = new World(codec);
      await world.play(events);
      // No more events: once an outage has ended and records could be written again, the list is exact.
      const calmMs =
        Math.max(0, world.disturbedAtMs - world.clock.nowMs()) + REWRITE_MS + 2 * POLL_MS;
      await world.advance(calmMs);
      world.stop();
      const there = IDS.filter((id) => !world.leftAtMs.has(id));
      return there.length === world.known.size && there.every((id) => world.known.has(id));
    }),
    { numRuns: RUNS },
  );
  t.pass();
});

test('without the check of the version the first property fails', async (t) => {
  let count = 0;
  const unguarded: StateCodec = {
    ...codec,
    decodeTable: (text) => {
      const table = codec.decodeTable(text);
      // Each version appears newer than the one before; the true version is in the limits.
      count += 1;
      const seen = count;
      return table.map((one) => ({
        ...one,
        version: seen,
        limits: { ...one.limits, bodyBytes: one.version },
      }));
    },
  };
  const found = await fc.check(
    fc.asyncProperty(day, async (events) => {
      const world = new World(unguarded);
      const versions: number[] = [];
      Object.assign(world.versions, {
        push: (seen: number) => versions.push(seen),
      });
      await world.play(events);
      await world.advance(10_000);
      world.stop();
      // The configuration is read again with each list and each delayed answer, though it is known.
      const written = events.filter(({ event: { type } }) => type === 'configure').length;
      return versions.length <= written + 1;
    }),
    { numRuns: 300 },
  );
  t.true(found.failed);
});
