import test from 'ava';
import {
  result,
  VirtualClock,
  type Ms,
  type Revision,
  type ServiceId,
  type UpstreamId,
} from '../src/base/index.js';
import { OriginHistory } from '../src/core/origin/index.js';
import type { Route, RouteTable } from '../src/core/routetable/index.js';
import type { Upstream } from '../src/core/upstreams/index.js';
import { VersionKeeper } from '../src/direct/origin/index.js';
import type { ChangeFeed, KeyValue } from '../src/port/index.js';

const KEY = 'stream-versions';
/** Longer than a version stays in the record after it was listed. */
const COVERED_MS = 200_000;
const TICK_MS = 100;
const SILENT_LOG = { info() {}, warn() {}, error() {} };
const SERVICE = 's' as ServiceId;
const ROUTE = {
  name: 'streams',
  host: 'h',
  pathPrefix: '/',
  timeoutMs: 12_000,
  destinations: [{ service: SERVICE, weight: 1 }],
  isResumable: true,
} as unknown as Route;
const TABLE = { version: 1, routesByHost: new Map([['h', [ROUTE]]]) } as unknown as RouteTable;

function upstream(id: string, service: string, softwareVersion: string): Upstream {
  return { id, service, softwareVersion, models: new Map() } as unknown as Upstream;
}

type Services = readonly (readonly [service: string, versions: string[], settledCount: number])[];

/** An entry beside a store that others write to; it learns of their writes by `follow` alone. */
class Keeping {
  readonly clock = new VirtualClock();

  readonly history = new OriginHistory();

  listKnownAtMs: Ms = 0;

  private stored: KeyValue | undefined;

  private readonly keeper = new VersionKeeper({
    clock: this.clock,
    log: SILENT_LOG,
    entry: 'e0',
    key: KEY,
    history: this.history,
    isHolder: () => true,
    listAgeMs: () => this.clock.nowMs() - this.listKnownAtMs,
    swap: (swap) => this.swap(swap),
    changed: () => {},
  });

  constructor() {
    this.history.table(TABLE, 0);
  }

  /** Another entry writes the record, as earlier releases do. */
  write(services: Services): void {
    const record = {
      services: services.map(([service, versions, settledCount]) => ({
        service,
        versions,
        settledCount,
      })),
    };
    this.put(JSON.stringify(record));
  }

  /** The entry's state is as new as the store's. */
  follow(): void {
    this.listKnownAtMs = this.clock.nowMs();
    this.keeper.heard(this.stored);
  }

  list(id: string, service: string, version: string): void {
    this.history.upstream(upstream(id, service, version), this.clock.nowMs());
  }

  gone(id: string): void {
    this.history.upstreamGone(id as UpstreamId, this.clock.nowMs());
  }

  async run(forMs: Ms): Promise<void> {
    const untilMs = this.clock.nowMs() + forMs;
    while (this.clock.nowMs() < untilMs) {
      this.keeper.tick();
      for (let turn = 0; turn < 8; turn += 1) await Promise.resolve();
      this.clock.advanceTo(this.clock.nowMs() + TICK_MS);
    }
  }

  isComplete(): boolean {
    return (JSON.parse(this.stored!.value) as { isComplete?: boolean }).isComplete ?? false;
  }

  versionsOf(service: string): string[] {
    const { services } = JSON.parse(this.stored!.value) as {
      services: { service: string; versions: string[] }[];
    };
    return services.find((one) => one.service === service)?.versions ?? [];
  }

  onlyVersionBegun(): string | undefined {
    return this.history.onlyOriginBegun(ROUTE, undefined, this.clock.nowMs())?.softwareVersion;
  }

  onlyVersion(): string | undefined {
    return this.history.onlyOrigin(ROUTE, undefined, this.clock.nowMs())?.softwareVersion;
  }

  private put(value: string): Revision {
    const revision = ((this.stored?.revision ?? 0) + 1) as Revision;
    this.stored = { key: KEY, value, revision };
    return revision;
  }

  private swap({
    expectedRevision,
    value,
  }: Parameters<ChangeFeed['swap']>[0]): ReturnType<ChangeFeed['swap']> {
    const current = this.stored;
    if ((current?.revision ?? 0) !== expectedRevision) {
      return Promise.resolve(result.Ok({ type: 'conflict', current }));
    }
    return Promise.resolve(result.Ok({ type: 'swapped', revision: this.put(value!) }));
  }
}

/** An entry that has run for long, with one version of each of two services. */
async function start(): Promise<Keeping> {
  const keeping = new Keeping();
  keeping.list('a1', 's', 'v1');
  keeping.list('b1', 't', 'w1');
  keeping.history.complete(undefined, false, 0);
  await keeping.run(1000);
  keeping.follow();
  await keeping.run(COVERED_MS);
  keeping.follow();
  return keeping;
}

// Guards against an entry that was out of step and drops from the record a version that it has not read of yet.
test('an entry whose list is older than the record drops no version', async (t) => {
  const keeping = await start();
  t.is(keeping.onlyVersion(), 'v1');
  // A release of another service is due to be recorded here, while others have recorded both.
  keeping.list('b2', 't', 'w2');
  keeping.write([
    ['s', ['v1', 'v2'], 2],
    ['t', ['w1', 'w2'], 2],
  ]);
  await keeping.run(1000);
  t.deepEqual(keeping.versionsOf('s'), ['v1', 'v2']);
  t.is(keeping.onlyVersion(), undefined);
  keeping.list('a2', 's', 'v2');
  keeping.follow();
  await keeping.run(1000);
  t.deepEqual(keeping.versionsOf('s'), ['v1', 'v2']);
});

test('an entry whose list is newer than the record drops versions of which no stream can go on', async (t) => {
  const keeping = await start();
  keeping.list('a2', 's', 'v2');
  await keeping.run(5000);
  t.deepEqual(keeping.versionsOf('s'), ['v1', 'v2']);
  keeping.gone('a1');
  keeping.follow();
  await keeping.run(1000);
  t.deepEqual(keeping.versionsOf('s'), ['v1', 'v2']);
  await keeping.run(COVERED_MS);
  t.deepEqual(keeping.versionsOf('s'), ['v1', 'v2']);
  keeping.follow();
  await keeping.run(1000);
  t.deepEqual(keeping.versionsOf('s'), ['v2']);
  t.is(keeping.onlyVersion(), 'v2');
});

// Guards against an inference from a record that an entry of an earlier version has written without a listed version.
test('no origin is inferred while the list has a version that the record lacks', async (t) => {
  const keeping = await start();
  keeping.list('a2', 's', 'v2');
  t.is(keeping.onlyVersion(), undefined);
});

test('a new version that is listed leaves the one at which streams have begun, until it is recorded', async (t) => {
  const keeping = await start();
  t.true(keeping.isComplete());
  keeping.list('a2', 's', 'v2');
  t.is(keeping.onlyVersionBegun(), 'v1');
  await keeping.run(1000);
  t.deepEqual(keeping.versionsOf('s'), ['v1', 'v2']);
  t.true(keeping.isComplete());
  t.is(keeping.onlyVersionBegun(), undefined);
});

// Guards against a record of an earlier release that lacks a version at which streams go on, taken for a complete one.
test('a record of an earlier release counts as complete only by a newer list that has been followed for long', async (t) => {
  const keeping = await start();
  keeping.write([['s', ['v1'], 1]]);
  keeping.list('a2', 's', 'v2');
  await keeping.run(100);
  t.is(keeping.onlyVersionBegun(), undefined);
  keeping.gone('a2');
  keeping.follow();
  t.is(keeping.onlyVersionBegun(), undefined);
  await keeping.run(1000);
  t.false(keeping.isComplete());
  keeping.gone('b1');
  await keeping.run(COVERED_MS);
  t.false(keeping.isComplete());
  keeping.follow();
  await keeping.run(1000);
  t.true(keeping.isComplete());
  t.is(keeping.onlyVersionBegun(), 'v1');
});
