import test, { type ExecutionContext } from 'ava';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { PlatformServer } from '../standin/platform/index.js';
import { callEntry } from './support/callentry.js';
import { PlatformRig } from './support/platformrig.js';
import { serverRecord } from './support/serverrecord.js';

/** Records under a key of its own that name no server to use, by what is wrong with them. */
const FOREIGN: Readonly<Record<string, object>> = {
  'a port that no address has': { address: '127.0.0.1:81450' },
  'port 0': { address: '127.0.0.1:0' },
  'a host that is no address': { address: 'no-such-host:80' },
  'a host that no URL can hold': { address: '[<>]:80' },
  'an octet above 255': { address: '127.0.0.256:80' },
  'an octet with a leading zero': { address: '127.0.0.01:80' },
  'a path': { address: '127.0.0.1:80/x' },
  'no version': { version: undefined },
  'no slots': { slots: undefined },
  'slots that are no number': { slots: 'many' },
  'no cold_remaining_ms': { cold_remaining_ms: null },
  'no seq': { seq: undefined },
  'a fractional seq': { seq: 1.5 },
  'an unknown state': { state: '__proto__' },
  'a list of models that is none': { models: { length: 1 } },
};
const RECORD = { service: 'plain', address: '127.0.0.1:9', zone: 'z1', state: 'ready' };
const CALLS = 12;
const FUZZ_SEEDS = Number(process.env.FUZZ_SEEDS ?? 2);
const FUZZ_ROUNDS = 40;
const FUZZ_KEYS = 6;
/** Values that a fuzzed field may have. */
const JUNK: readonly unknown[] = [
  undefined,
  null,
  '',
  '__proto__',
  'plain',
  'engine',
  '127.0.0.1:81450',
  '[::1]:80',
  'a\u0000b\r\nc',
  -1,
  0.5,
  2 ** 31,
  1e308,
  true,
  [],
  [null],
  {},
  { length: -1 },
];
const FIELDS = [
  ...Object.keys(JSON.parse(serverRecord()) as object),
  'born',
  'remaining_ms',
  'models',
  'at_hand',
  '__proto__',
  'host',
  'nonce',
  'suspects',
  'isReleased',
  'versions',
] as const;

async function startRig(t: ExecutionContext): Promise<PlatformRig> {
  const rig = new PlatformRig();
  t.teardown(() => rig.close());
  const plain = new PlatformServer('p1', 'plain');
  const engine = new PlatformServer('e1', 'engine');
  engine.models.set('m1', new Set());
  await rig.start([plain, engine]);
  return rig;
}

function keysOf({ store }: PlatformRig): string[] {
  return store.model.list('').items.map(({ key }) => key);
}

function lookUp(rig: PlatformRig): ReturnType<typeof callEntry> {
  return callEntry(rig.port, { path: '/lookup/1' });
}

// Guards against a record of another writer that ends every entry which chooses it.
for (const [name, wrong] of Object.entries(FOREIGN)) {
  test(`a record of another writer names no server to use: ${name}`, async (t) => {
    const rig = await startRig(t);
    rig.store.put('servers/foreign', serverRecord({ ...RECORD, ...wrong }));
    await rig.untilLogged(1, 'upstream not readable');
    for (let call = 0; call < CALLS; call += 1) t.is((await lookUp(rig)).status, 200);
    t.false(rig.lines.some(({ fields }) => fields.upstream === 'foreign' && fields.requestId));
  });
}

// Guards against requests of one route at a server of another service: its own record came back after a foreign one.
test('a server whose record named another service gets no request of that service again', async (t) => {
  const rig = await startRig(t);
  const [, engine] = rig.servers;
  rig.store.put('servers/e1', { ...engine!.entry(), service: 'plain' });
  await rig.startEntry(1);
  await rig.until(() => rig.entryOf(1).isReady());
  rig.publish(engine!);
  await rig.untilLogged(
    2,
    'upstream listed with another service',
    ({ service }) => service === 'engine',
  );
  for (let call = 0; call < CALLS; call += 1) {
    t.is((await callEntry(rig.portOf(1), { path: '/lookup/1' })).status, 200);
  }
  t.is(engine!.runs.length, 0);
  const headers = { 'Tarragonstile-Model': 'm1' };
  const draft = await callEntry(rig.portOf(1), { method: 'POST', path: '/draft/1', headers });
  t.is(draft.status, 200);
});

// Guards against a lease record of another writer under which no entry can take the lease any more.
test('the order lease is taken again after another writer has replaced or removed its record', async (t) => {
  const rig = await startRig(t);
  const taken = () => rig.lines.filter(({ message }) => message === 'order turn taken').length;
  await rig.until(() => taken() === 1);
  const key = keysOf(rig).find((each) => each.includes('order'))!;
  rig.store.put(key, { host: 7, address: 'nowhere' });
  await rig.until(() => taken() === 2);
  rig.store.remove(key);
  await rig.until(() => taken() === 3);
  t.is((await lookUp(rig)).status, 200);
});

function pick<T>(random: RandomGenerator, values: readonly T[]): T {
  return values[uniformInt(random, 0, values.length - 1)]!;
}

/** Returns a record with up to three fields replaced by junk, or bytes that are no record. */
function fuzzed(random: RandomGenerator): object | string {
  const record = { ...RECORD, ...(JSON.parse(serverRecord(RECORD)) as object) };
  const count = uniformInt(random, 0, 3);
  for (let at = 0; at < count; at += 1) {
    const value = pick(random, JUNK);
    Object.defineProperty(record, pick(random, FIELDS), {
      value,
      enumerable: true,
      configurable: true,
    });
  }
  if (uniformInt(random, 0, 5) > 0) return record;
  const text = JSON.stringify(record);
  return text.slice(0, uniformInt(random, 0, text.length));
}

for (let seed = 1; seed <= FUZZ_SEEDS; seed += 1) {
  // Guards against any record that ends an entry; an exception in a callback ends this process as it ends an entry's.
  test(`an entry serves beside records of another writer, seed ${seed}`, async (t) => {
    const rig = await startRig(t);
    const random = xoroshiro128plus(seed);
    const keys = [
      'servers/foreign',
      'servers/__proto__',
      'servers/\u0001',
      'servers/p2',
      ...keysOf(rig),
    ];
    const others = keys.filter((key) => key !== 'op/config');
    for (let round = 0; round < FUZZ_ROUNDS; round += 1) {
      const reads = rig.store.calls.length;
      for (let at = 0; at < FUZZ_KEYS; at += 1) rig.store.put(pick(random, others), fuzzed(random));
      await rig.until(() => rig.store.calls.length > reads);
      const answer = await callEntry(rig.port, { path: '/lookup/1' });
      t.true(answer.status === 200 || answer.status === 503, String(answer.status));
    }
    for (const key of others) rig.store.remove(key);
    for (const server of rig.servers) rig.publish(server);
    await rig.until(() => rig.entry.isReady());
    await rig.untilLogged(1, 'upstream listed');
    let status = 0;
    while (status !== 200) ({ status } = await lookUp(rig));
    t.is(status, 200);
  });
}

// Guards against an answer of another form that ends an entry, such as that of a process that has taken the store's port.
test('an answer that is none of the store is a failed call', async (t) => {
  const rig = await startRig(t);
  const paths = ['/kv-watch', '/kv-range', '/kv-key', '/kv-txn'];
  for (const path of paths) rig.store.faults.set(path, ['foreign', 'foreign', 'foreign']);
  rig.store.put('servers/p1', rig.servers[0]!.entry());
  await rig.untilLogged(1, 'store answer malformed', ({ action }) => action === 'kv-watch');
  await rig.untilLogged(1, 'store answer malformed', ({ action }) => action === 'kv-txn');
  await rig.until(() =>
    paths.slice(0, 1).every((path) => rig.store.faults.get(path)!.length === 0),
  );
  await rig.untilLogged(1, 'store regained');
  t.is((await lookUp(rig)).status, 200);
});

/** Odd records: deep, with numbers out of range, or with names of a prototype. */
const ODD: readonly string[] = [
  `${'['.repeat(100_000)}${']'.repeat(100_000)}`,
  `{"extra":${'['.repeat(20_000)}${']'.repeat(20_000)},${serverRecord(RECORD).slice(1)}`,
  serverRecord({ ...RECORD, seq: 1 }).replace('"seq":1', '"seq":1e400'),
  serverRecord({ ...RECORD, address: '127.0.0.1:65536' }),
  `{"__proto__":{"state":"ready"},${serverRecord({ ...RECORD, service: '__proto__' }).slice(1)}`,
  `{"services":[{"service":"s","versions":["v1"],"settledCount":1,"x":${'['.repeat(20_000)}${']'.repeat(20_000)}}]}`,
  `{"suspects":[{"trait":"t","service":"s","sinceWallMs":1e400,"crashes":[]}]}`,
  `{"origins":${'['.repeat(20_000)}${']'.repeat(20_000)},"streams":[]}`,
  'x'.repeat(500_000),
];

// Guards against one odd record that ends an entry, or stops it from following the list: servers that are listed later are
// used, also by an entry that starts beside such records.
test('a server that is listed later is used beside many odd records', async (t) => {
  const rig = await startRig(t);
  await rig.untilLogged(1, 'order turn taken');
  const own = keysOf(rig).filter((key) => !key.startsWith('servers/') && key !== 'op/config');
  for (const [at, text] of ODD.entries()) {
    for (const key of [`servers/odd-${at}`, `other/odd-${at}`, `tarragonstile/odd-${at}`, ...own]) {
      rig.store.put(key, text);
    }
  }
  const later = new PlatformServer('p2', 'plain');
  await rig.add(later);
  await rig.startEntry(1);
  await rig.until(() => rig.entryOf(1).isReady());
  await rig.untilLogged(2, 'upstream listed', ({ upstream }) => upstream === 'p2');
  rig.store.remove('servers/p1');
  await rig.untilLogged(2, 'upstream gone', ({ upstream }) => upstream === 'p1');
  for (const port of [rig.portOf(0), rig.portOf(1)]) {
    t.is((await callEntry(port, { path: '/lookup/1' })).status, 200);
  }
  t.is(later.runs.length, 2);
});
