import test from 'ava';
import { decodeReport } from '../platform/decodereport.js';
import { decodeTable } from '../platform/decodetable.js';
import { decodeUpstream } from '../platform/decodeupstream.js';
import { VirtualClock, type HostId, type Revision } from '../src/base/index.js';
import { OriginHistory } from '../src/core/origin/index.js';
import { peerShapes } from '../src/direct/orders/peershapes.js';
import { OrderLeaseKeeper } from '../src/direct/orders/orderleasekeeper.js';
import { OriginStore } from '../src/direct/origin/originstore.js';
import { VersionKeeper } from '../src/direct/origin/versionkeeper.js';
import { decodeSuspects } from '../src/direct/poison/decodesuspects.js';
import { configurationOf } from '../standin/platform/index.js';
import { serverRecord } from './support/serverrecord.js';
import { silentLog } from './support/silentlog.js';

type Path = readonly (string | number)[];

/** Numbers as JSON may write them; each field of a record is set to each of them. */
const ODD = [
  '1e400',
  '-1e400',
  '1e308',
  '9007199254740993',
  '1e16',
  '-0',
  '-1',
  '-1e300',
  '0.5',
  '5e-324',
  '2147483648',
  '"NaN"',
  '"1"',
  'null',
] as const;
/** No number that is kept exceeds this, so that the sum of many is finite. */
const MAX_KEPT = Number.MAX_SAFE_INTEGER;
const PLACEHOLDER = '\u0001';

const ORIGIN = { service: 's', softwareVersion: 'v1' };
const CRASH = { upstream: 'u1', runMs: 5, chance: 0.5, isTrial: false, state: 'open' };
const SUSPECT = { trait: 't1', service: 's', sinceWallMs: 1, crashes: [CRASH] };
const STANDING = { upstream: 'u1', startedAtMs: 1, ratePerS: 5, rateAgeMs: 3, sentBefore: 2 };
const LEASE = {
  host: 'h2',
  address: '127.0.0.1:2',
  nonce: 'n',
  sentAtMs: 1,
  isActive: true,
  isReleased: false,
  entries: { count: 2, parts: 2 },
  table: 1,
};
const DEMAND = {
  entry: 'e2',
  address: '127.0.0.1:2',
  membersDigest: 7,
  models: [
    {
      ...{ service: 's', model: 'm', arrivals: 1, ended: 1, endedMs: 5, running: 1, waiting: 1 },
      ...{ refusedFull: 1, adapters: [], busyAdapters: [] },
    },
  ],
  lost: [],
  storeReachedMs: 5,
  heard: { epoch: 1, index: 1 },
  quota: { customers: [{ customer: 'c', wanted: 1, held: 1, returned: 1 }] },
  standings: [STANDING],
  connections: [{ upstream: 'u1', openCount: 1, neededCount: 1 }],
  loads: [{ upstream: 'u1', running: 1 }],
  paces: [{ upstream: 'u1', percent: 100 }],
};
const DEMAND_ANSWER = {
  entryCount: 3,
  members: { digest: 7 },
  storeReachedMs: 5,
  news: { epoch: 1, index: 1, changes: [] },
  quota: {
    parts: 8,
    grants: [{ customer: 'c', granted: 1, isEmpty: false, retryAfterMs: 5 }],
  },
  standings: [STANDING],
  connections: [{ upstream: 'u1', count: 1 }],
  loads: [{ upstream: 'u1', running: 1 }],
  paces: [{ upstream: 'u1', percent: 100 }],
};

/** Reads a record and returns what is kept of it; undefined if it is refused. */
type Reader = (text: string) => unknown;

function request(name: keyof typeof peerShapes.requests): Reader {
  return (text) => {
    const read = JSON.parse(text) as unknown;
    return peerShapes.requests[name](read) ? read : undefined;
  };
}

function answer(name: keyof typeof peerShapes.answers): Reader {
  return (text) => {
    const read = JSON.parse(text) as unknown;
    return peerShapes.answers[name](read) ? read : undefined;
  };
}

function item(value: string) {
  return { key: 'k', value, revision: 5 as Revision };
}

function lease(clock = new VirtualClock()): OrderLeaseKeeper {
  return new OrderLeaseKeeper({
    ...{ host: 'h' as HostId, address: '127.0.0.1:1', key: 'k', spacingMs: 0, delayMs: 0 },
    ...{ feed: {} as never, clock, log: silentLog },
    relay: () => new Promise(() => {}),
    entries: () => undefined,
    table: () => undefined,
    onTaken: () => {},
  });
}

function okOf(read: { readonly ok: boolean; readonly val: unknown }): unknown {
  return read.ok ? read.val : undefined;
}

const READERS: Readonly<Record<string, readonly [read: Reader, sound: object]>> = {
  server: [
    (text) => okOf(decodeUpstream('s1', text)),
    {
      ...(JSON.parse(serverRecord()) as object),
      ...{ born: 1, remaining_ms: 5, models: [{ name: 'm', version: 1 }] },
    },
  ],
  report: [decodeReport, { busy: false, born: 1, seq: 1, models: [{ name: 'm', version: 1 }] }],
  configuration: [
    (text) => okOf(decodeTable(text)),
    configurationOf(
      1,
      'h',
      [{ name: 'r', kind: 'idempotent', service: 's' }],
      [{ name: 'c1', keys: ['k1'], priority: 1, rate: 10, burst: 5 }],
    ),
  ],
  lease: [
    (text) => {
      const keeper = lease();
      keeper.heard(item(text));
      return keeper.record?.nonce === 'n' ? keeper.record : undefined;
    },
    LEASE,
  ],
  origins: [
    (text) => {
      const read: unknown[] = [];
      const store = new OriginStore({
        clock: new VirtualClock(),
        log: silentLog,
        metrics: { count() {}, gauge() {}, histogram() {}, remove() {} } as never,
        prefix: '',
        tellHolder: () => Promise.resolve(true),
        swap: () => new Promise(() => {}),
        receive: (copies) => read.push(...copies),
      });
      store.heard('3', item(text));
      return read.length > 0 ? read : undefined;
    },
    { origins: [ORIGIN], streams: [['r1', 1, 0, 1000]] },
  ],
  versions: [
    (text) => {
      const history = new OriginHistory();
      let isRead = false;
      const keeper = new VersionKeeper({
        ...{ clock: new VirtualClock(), entry: 'e1', key: 'k', history },
        log: {
          ...silentLog,
          info() {
            isRead = true;
          },
        },
        isHolder: () => true,
        listAgeMs: () => 0,
        swap: () => new Promise(() => {}),
        changed: () => {},
      });
      keeper.heard(item(text));
      return isRead ? JSON.parse(text) : undefined;
    },
    { services: [{ service: 's', versions: ['v1'], settledCount: 1 }] },
  ],
  suspects: [decodeSuspects, { suspects: [SUSPECT] }],
  'demand report': [request('demand'), DEMAND],
  'demand answer': [answer('demand'), DEMAND_ANSWER],
  'swap of a peer': [request('swap'), { key: 'k', expectedRevision: 1, value: 'v' }],
  'request for changes': [request('changes'), { after: 1, waitMs: 5 }],
  draw: [request('draw'), { entry: 'e2', customer: 'c', missing: 1, cost: 1 }],
  'draw answer': [answer('draw'), { type: 'empty', retryAfterMs: 5 }],
  grant: [answer('draw'), { type: 'granted', granted: 5 }],
  'request for a slot': [request('slot'), { entry: 'e2', news: STANDING, rank: 1, waitMs: 5 }],
  'slot answer': [answer('slot'), { type: 'later', inMs: 5 }],
  'find answer': [answer('find'), { type: 'later', inMs: 5, isUnderWay: true }],
  'origin copies': [
    request('copyOrigins'),
    { copies: [{ id: 'r1', origin: ORIGIN, sequence: 1, keepMs: 5 }] },
  ],
  'origin answer': [answer('origin'), { type: 'known', origin: ORIGIN, sequence: 1, ageMs: 5 }],
};

/** Returns the paths of all numbers within a value. */
function numbersIn(value: unknown): Path[] {
  if (typeof value === 'number') return [[]];
  if (typeof value !== 'object' || value === null) return [];
  return Object.entries(value).flatMap(([name, field]) =>
    numbersIn(field).map((path) => [name, ...path]),
  );
}

function withText(value: unknown, [name, ...rest]: Path, text: string): string {
  const replace = (part: unknown, [first, ...others]: Path): unknown => {
    if (first === undefined) return PLACEHOLDER;
    const copy: Record<string, unknown> = Array.isArray(part)
      ? ([...part] as unknown as Record<string, unknown>)
      : { ...(part as object) };
    copy[first] = replace(copy[first], others);
    return copy;
  };
  const written = JSON.stringify(replace(value, name === undefined ? [] : [name, ...rest]));
  return written.replace(JSON.stringify(PLACEHOLDER), text);
}

/** Returns the first number within a value that is not finite, or too large to be added to others. */
function oddNumberIn(value: unknown): number | undefined {
  if (typeof value === 'number') return Math.abs(value) <= MAX_KEPT ? undefined : value;
  if (typeof value !== 'object' || value === null) return undefined;
  const parts: Iterable<unknown> =
    value instanceof Map ? value.values() : (Object.values(value) as unknown[]);
  for (const part of parts) {
    const odd = oddNumberIn(part);
    if (odd !== undefined) return odd;
  }
  return undefined;
}

for (const [name, [read, sound]] of Object.entries(READERS)) {
  // Guards against sums that become infinite or NaN for good, and against records that are written on with `null`.
  test(`${name}: no number that is kept is infinite or beyond 2^53`, (t) => {
    t.truthy(read(JSON.stringify(sound)));
    const paths = numbersIn(sound);
    t.true(paths.length > 0);
    for (const path of paths) {
      for (const odd of ODD) {
        const text = withText(sound, path, odd);
        const shown = `${path.join('.')}: ${odd}`;
        let kept: unknown;
        t.notThrows(() => {
          kept = read(text);
        }, shown);
        t.is(oddNumberIn(kept), undefined, shown);
      }
    }
  });
}

/** Fields that set a wait, or a time for which something is kept, by reader. */
const SPANS: Readonly<Record<string, readonly Path[]>> = {
  origins: [['streams', 0, 3]],
  'origin copies': [['copies', 0, 'keepMs']],
  'request for changes': [['waitMs']],
  'request for a slot': [['waitMs']],
  'slot answer': [['inMs']],
  'find answer': [['inMs']],
  'draw answer': [['retryAfterMs']],
  'demand answer': [['quota', 'grants', 0, 'retryAfterMs']],
};

for (const [name, paths] of Object.entries(SPANS)) {
  // Guards against a wait that never ends, and against a timer that overflows and fires at once.
  test(`${name}: a time span is not negative and fits a timer`, (t) => {
    const [read, sound] = READERS[name]!;
    for (const path of paths) {
      t.truthy(read(withText(sound, path, '2147483647')));
      t.is(read(withText(sound, path, '2147483648')), undefined);
      t.is(read(withText(sound, path, '-1')), undefined);
    }
  });
}

/** Fields that divide a budget, or count what is whole, by reader. */
const COUNTS: Readonly<Record<string, readonly Path[]>> = {
  lease: [
    ['entries', 'count'],
    ['entries', 'parts'],
  ],
  'demand answer': [['entryCount'], ['quota', 'parts']],
};

for (const [name, paths] of Object.entries(COUNTS)) {
  // Guards against a budget that is divided by 0 and so has no bound, or into so many parts that nothing is left.
  test(`${name}: a number of entries or of parts is whole, above 0 and bounded`, (t) => {
    const [read, sound] = READERS[name]!;
    for (const path of paths) {
      t.truthy(read(withText(sound, path, '1000')));
      for (const odd of ['0', '0.5', '1e9']) {
        t.is(read(withText(sound, path, odd)), undefined, `${path.join('.')}: ${odd}`);
      }
    }
  });
}

// Guards against a verdict that the product of chances makes certain, or can never reach.
test('suspects: a chance is a probability, and a run takes no negative time', (t) => {
  const [read, sound] = READERS.suspects!;
  for (const odd of ['-0.1', '1.1', '-1e300']) {
    t.is(read(withText(sound, ['suspects', 0, 'crashes', 0, 'chance'], odd)), undefined, odd);
  }
  t.is(read(withText(sound, ['suspects', 0, 'crashes', 0, 'runMs'], '-1')), undefined);
});
