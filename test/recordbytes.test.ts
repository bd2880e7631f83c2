import test from 'ava';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { decodeReport } from '../platform/decodereport.js';
import { decodeTable } from '../platform/decodetable.js';
import { decodeUpstream } from '../platform/decodeupstream.js';
import { VirtualClock, type HostId, type Revision } from '../src/base/index.js';
import { decodeStored } from '../src/core/acceptance/index.js';
import { readDocument } from '../src/core/document/index.js';
import { readValue } from '../src/core/fence/readvalue.js';
import { mappingValue } from '../src/core/idempotency/mappingvalue.js';
import { OriginHistory } from '../src/core/origin/index.js';
import { OrderLeaseKeeper } from '../src/direct/orders/orderleasekeeper.js';
import { OriginStore } from '../src/direct/origin/originstore.js';
import { VersionKeeper } from '../src/direct/origin/versionkeeper.js';
import { decodeSuspects } from '../src/direct/poison/decodesuspects.js';
import { fromWire } from '../src/shell/mesh/fromwire.js';
import { recordOf } from '../src/shell/mesh/recordof.js';
import { serverRecord } from './support/serverrecord.js';
import { configurationOf } from '../standin/platform/index.js';

/** Reads a record, and returns all that is kept, logged or written of it. */
type Reader = (text: string) => unknown;

const SEEDS = Number(process.env.RECORD_SEEDS ?? 1);
const ROUNDS = 40;
const REVISION = 5 as Revision;
const MAX_BYTES = 2_000_000;

function item(text: string) {
  return { key: 'k', value: text, revision: REVISION };
}

/** Returns a log that keeps what it is given as the real one writes it. */
function jsonLog(lines: string[]) {
  const write = (message: string, fields?: object) => {
    lines.push(JSON.stringify({ message, ...fields }));
  };
  return { info: write, warn: write, error: write };
}

const READERS: Readonly<Record<string, readonly [read: Reader, template: string]>> = {
  server: [(text) => decodeUpstream('s1', text), serverRecord()],
  configuration: [
    (text) => decodeTable(text),
    JSON.stringify(configurationOf(1, 'h', [{ name: 'r', kind: 'idempotent', service: 's' }])),
  ],
  report: [(text) => decodeReport(text), '{"busy":false,"seq":1,"models":[]}'],
  versions: [
    (text) => {
      const lines: string[] = [];
      const clock = new VirtualClock();
      const history = new OriginHistory();
      const keeper = new VersionKeeper({
        clock,
        log: jsonLog(lines),
        entry: 'e1',
        key: 'k',
        history,
        isHolder: () => true,
        listAgeMs: () => 0,
        swap: () => new Promise(() => {}),
        changed: () => {},
      });
      keeper.heard(item(text));
      keeper.tick();
      return lines;
    },
    '{"services":[{"service":"s","versions":["v1"],"settledCount":1}]}',
  ],
  origins: [
    (text) => {
      const read: unknown[] = [];
      const lines: string[] = [];
      const store = new OriginStore({
        clock: new VirtualClock(),
        log: jsonLog(lines),
        metrics: { count() {}, gauge() {}, histogram() {}, remove() {} } as never,
        prefix: '',
        tellHolder: () => Promise.resolve(true),
        swap: () => new Promise(() => {}),
        receive: (copies) => read.push(copies),
      });
      store.heard('3', item(text));
      return [read, lines];
    },
    '{"origins":[{"service":"s","softwareVersion":"v1"}],"streams":[["r1",1,0,1000]]}',
  ],
  lease: [
    (text) => {
      const lines: string[] = [];
      const keeper = new OrderLeaseKeeper({
        host: 'h' as HostId,
        address: '127.0.0.1:1',
        key: 'k',
        spacingMs: 0,
        delayMs: 0,
        feed: {} as never,
        clock: new VirtualClock(),
        log: jsonLog(lines),
        relay: () => new Promise(() => {}),
        entries: () => undefined,
        table: () => undefined,
        onTaken: () => {},
      });
      keeper.heard(item(text));
      return [lines, keeper.record, keeper.recordedEntries, keeper.takeoverInMs()];
    },
    '{"host":"h2","address":"127.0.0.1:2","nonce":"n","sentAtMs":1,"isActive":true,"isReleased":false,"entries":{"count":2,"parts":2},"table":1}',
  ],
  suspects: [
    (text) => decodeSuspects(text),
    '{"suspects":[{"trait":"t","service":"s","sinceWallMs":1,"crashes":[{"upstream":"u","runMs":1,"chance":0.5,"isTrial":false,"state":"open","companions":["c"]}]}]}',
  ],
  'document in the store': [
    (text) => recordOf({ ...item(text), key: 'p/s' }, 'p/', 'r1'),
    JSON.stringify({
      format: 1,
      document: '{"service":"s","groups":[{"upstreams":[]}]}',
      audit: [],
    }),
  ],
  'document of a peer': [
    (text) => {
      const record = { key: 'document/s', epoch: 0, sequence: 1, value: Buffer.from(text) };
      const batch = { host: 'h', revision: 1, hash: 0, caughtUp: true, truncated: false };
      return fromWire({ ...batch, records: [{ ...record, origin: '' }] }, () => false);
    },
    '{"service":"s","groups":[{"upstreams":[{"sidecarAddress":"127.0.0.1:1"}]}]}',
  ],
  'service document': [(text) => readDocument(text), '{"service":"s","groups":[{"upstreams":[]}]}'],
  'upstream value': [
    (text) => readValue(item(text)),
    '{"incarnation":1,"owner":"o","intents":[{"id":"i"}]}',
  ],
  'key mapping': [(text) => mappingValue.read(text), '{"ticket":"t","requestHash":"h"}'],
  'stored service': [(text) => decodeStored(text), '{"format":1,"document":"{}","audit":[]}'],
};

function pick<T>(random: RandomGenerator, values: readonly T[]): T {
  return values[uniformInt(random, 0, values.length - 1)]!;
}

function nested(open: string, close: string, levels: number): string {
  return open.repeat(levels) + close.repeat(levels);
}

const LEVELS = [40, 3000, 20_000, 1_000_000] as const;
const ODD = [
  '1e400',
  '-1e400',
  '-0',
  '1e-400',
  '99999999999999999999',
  '-1',
  'null',
  '{}',
  '[]',
  '[null]',
  '""',
  '"127.0.0.1:65536"',
  '"127.0.0.1:-0"',
  '"__proto__"',
  '{"__proto__":{"a":1}}',
  '{"toString":1,"constructor":null,"length":-1}',
] as const;

/** Returns a value of JSON that is odd: deep, large or out of range. */
function oddValue(random: RandomGenerator): string {
  const kind = uniformInt(random, 0, 6);
  const levels = pick(random, LEVELS);
  if (kind === 0) return nested('[', ']', levels);
  if (kind === 1) return `${'{"a":'.repeat(levels / 5)}1${'}'.repeat(levels / 5)}`;
  if (kind === 2) return `"${'x'.repeat(uniformInt(random, 0, MAX_BYTES))}"`;
  if (kind === 3) return `[${'1e400,'.repeat(uniformInt(random, 0, 100_000))}1]`;
  return pick(random, ODD);
}

/** Returns a record with odd bytes: in place of a value, as a further field, in place of the whole, or cut. */
function oddRecord(random: RandomGenerator, template: string): string {
  const value = oddValue(random);
  const places = [...template.matchAll(/[{]/g)].map(({ index }) => index);
  const values = [...template.matchAll(/:("[^"]*"|[\d.]+|true|false|\[[^[\]{}]*\])/g)];
  const kind = uniformInt(random, 0, 4);
  if (kind === 0) return value;
  if (kind === 1) return template.slice(0, uniformInt(random, 0, template.length)) + value;
  if (kind === 2 && values.length > 0) {
    const { index, 0: found } = pick(random, values);
    return `${template.slice(0, index)}:${value}${template.slice(index + found.length)}`;
  }
  const at = pick(random, places) + 1;
  const name = pick(random, ['extra', '__proto__', 'length', 'toString']);
  const comma = template[at] === '}' ? '' : ',';
  return `${template.slice(0, at)}"${name}":${value}${comma}${template.slice(at)}`;
}

// Guards against an event loop that a record stops: a million levels take 0.4 s of processor time to parse, and each entry
// parsed such a record twice whenever it was written.
test('a record that is too large or too deep is refused before it is parsed', (t) => {
  const text = serverRecord();
  const decoded = (record: string) => decodeUpstream('s1', record);
  const withField = (value: string) => `{"extra":${value},${text.slice(1)}`;
  t.true(decoded(withField(nested('[', ']', 60))).ok);
  t.true(decoded(withField(`"${'['.repeat(2000)}"`)).ok);
  t.true(decoded(withField(`"${'x'.repeat(64_000)}"`)).ok);
  t.true(decoded(withField(nested('[', ']', 65))).err);
  t.true(decoded(withField(`"\\"${nested('{"a":[', ']}', 100)}`)).err);
  t.true(decoded(withField(`"${'x'.repeat(66_000)}"`)).err);
});

for (const [name, [read, template]] of Object.entries(READERS)) {
  // Guards against a test that reads nothing: the template of each reader is a record that it accepts.
  test(`${name}: a record of the usual form is read`, (t) => {
    t.not(JSON.stringify(read(template)), JSON.stringify(read('')));
  });

  for (let seed = 1; seed <= SEEDS; seed += 1) {
    // Guards against a record of another writer that ends a process, or stops the reading of the others, by an exception.
    test(`${name}: no bytes of a record throw, seed ${seed}`, (t) => {
      const random = xoroshiro128plus(seed);
      for (let round = 0; round < ROUNDS; round += 1) {
        const text = oddRecord(random, template);
        const shown = `round ${round}: ${text.slice(0, 120)}`;
        // What is kept of a record is logged and sent on as JSON.
        t.notThrows(() => JSON.stringify(read(text)), shown);
      }
    });
  }
}
