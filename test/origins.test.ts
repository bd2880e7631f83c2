import test from 'ava';
import { VirtualClock, type RequestId, type Revision, type ServiceId } from '../src/base/index.js';
import { OriginHistory } from '../src/core/origin/index.js';
import type { Route, RouteTable } from '../src/core/routetable/index.js';
import type { Upstream } from '../src/core/upstreams/index.js';
import type { Caller } from '../src/direct/caller.js';
import { Origins, type FoundOrigin, type OriginAnswer } from '../src/direct/origin/index.js';

const SERVICE = 's' as ServiceId;
const RECORD_REVISION = 7 as Revision;
const LATER_REVISION = 9 as Revision;
const OLD_LIST_MS = 10_000;
const LONG_MS = 60_000;
const ROUTE = {
  name: 'streams',
  host: 'h',
  pathPrefix: '/',
  timeoutMs: 12_000,
  destinations: [{ service: SERVICE, weight: 1 }],
  isResumable: true,
} as unknown as Route;
const TABLE = { version: 1, routesByHost: new Map([['h', [ROUTE]]]) } as unknown as RouteTable;
const MEMBERS = Array.from({ length: 4 }, (_, at) => ({
  entry: `e${at}`,
  address: `e${at}`,
  availabilityZone: `z${at % 2}`,
}));
const REQUEST = { id: 'r2', resumes: 'r1' as RequestId } as unknown as Caller['request'];

/** Versions that the entry knows. */
interface Known {
  readonly versions: string[];
  readonly listed: readonly string[];
  readonly isComplete: boolean;
}

/** Takes a stream up at an entry whose list is old, while the others answer that they keep no copy. */
function takeUp(
  listAgeMs: number,
  revisions: readonly (Revision | undefined)[],
  { versions = ['v1'], listed = ['v1'], isComplete }: Partial<Known> = {},
): Promise<FoundOrigin> {
  const clock = new VirtualClock();
  const history = new OriginHistory();
  history.table(TABLE, 0);
  for (const softwareVersion of listed) {
    const upstream = { id: softwareVersion, service: SERVICE, softwareVersion, models: new Map() };
    history.upstream(upstream as unknown as Upstream, 0);
  }
  const services = [{ service: SERVICE, versions, settledCount: 1 }];
  history.versionsStored({ services, isComplete }, RECORD_REVISION, 0);
  history.complete(undefined, false, 0);
  clock.advanceTo(LONG_MS);
  const left = [...revisions];
  const origins = new Origins({
    clock,
    log: { info() {}, warn() {}, error() {} },
    metrics: { count() {}, gauge() {}, histogram() {} },
    entry: 'e0',
    history,
    members: () => MEMBERS,
    listAgeMs: () => listAgeMs,
    copy: () => Promise.resolve(true),
    store: () => {},
    ask: () => {
      const versionsRevision = left.length > 1 ? left.shift() : left[0];
      return Promise.resolve({
        type: 'unknown',
        keptMs: LONG_MS,
        versionsRevision,
      } as OriginAnswer);
    },
  });
  return origins.find(REQUEST, ROUTE);
}

test('an entry with an old list infers an origin where others know the same record of versions', async (t) => {
  const { origin, source } = await takeUp(OLD_LIST_MS, [RECORD_REVISION]);
  t.is(source, 'inferred');
  t.is(origin?.softwareVersion, 'v1');
});

// Guards against an entry that missed a release and takes the others' lack of a copy for its own version.
test('an entry with an old list infers no origin where another knows a later record of versions', async (t) => {
  t.is((await takeUp(OLD_LIST_MS, [LATER_REVISION])).source, 'unknown');
  t.is((await takeUp(OLD_LIST_MS, [LATER_REVISION, RECORD_REVISION])).source, 'unknown');
  t.is((await takeUp(OLD_LIST_MS, [undefined])).source, 'unknown');
});

test('an entry with a fresh list infers an origin by itself', async (t) => {
  t.is((await takeUp(1000, [LATER_REVISION])).source, 'inferred');
});

// Guards against streams that are refused after a kill of all entries while servers of a new version join: an entry that
// starts reads of both versions at once, before the second one stands in the record.
test('an origin is inferred while the list has a version at which no stream can have begun yet', async (t) => {
  const listed = ['v1', 'v2'];
  const found = await takeUp(1000, [RECORD_REVISION], { listed, isComplete: true });
  t.is(found.source, 'inferred');
  t.is(found.origin?.softwareVersion, 'v1');
});

test('no origin is inferred where the list has a version that may have been dropped from the record', async (t) => {
  const listed = ['v1', 'v2'];
  t.is((await takeUp(1000, [RECORD_REVISION], { listed })).source, 'unknown');
  t.is((await takeUp(1000, [RECORD_REVISION], { listed, isComplete: false })).source, 'unknown');
  const isOld = await takeUp(OLD_LIST_MS, [RECORD_REVISION], { listed, isComplete: true });
  t.is(isOld.source, 'unknown');
});

test('no origin is inferred once the record names a second version', async (t) => {
  const known = { versions: ['v1', 'v2'], listed: ['v1', 'v2'], isComplete: true };
  t.is((await takeUp(1000, [RECORD_REVISION], known)).source, 'unknown');
});
