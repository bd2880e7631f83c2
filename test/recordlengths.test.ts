import test from 'ava';
import { decodeTable } from '../platform/decodetable.js';
import type { Revision, ServiceId, TraitId, UpstreamId } from '../src/base/index.js';
import type { Suspect } from '../src/core/poison/index.js';
import { result } from '../src/base/index.js';
import { decodeSuspects } from '../src/direct/poison/decodesuspects.js';
import { SuspectStore } from '../src/direct/poison/suspectstore.js';
import { SuspectTable } from '../src/direct/poison/suspecttable.js';
import { recordOf } from '../src/shell/mesh/recordof.js';
import { configurationOf } from '../standin/platform/index.js';
import { serviceDocument } from './support/servicedocument.js';
import { silentLog } from './support/silentlog.js';

const MODELS = 1200;
const UPSTREAMS = 12_000;
const CUSTOMERS = 5000;
const SUSPECTS = 256;
const COMPANIONS = 17;
const LONG_PATH = 16_000;
const PADDING = ' '.repeat(5_000_000);
const ID = 'a'.repeat(64);
const UPSTREAM = 'u1' as UpstreamId;

function listOf<T>(count: number, make: (at: number) => T): T[] {
  return Array.from({ length: count }, (_, at) => make(at));
}

function suspects(path: string): Suspect[] {
  const companions = listOf(COMPANIONS, (at) => `part/${ID.slice(2)}${at + 10}` as TraitId);
  const service = 's' as ServiceId;
  return listOf(SUSPECTS, (at) => ({
    trait: `${ID}${at}` as TraitId,
    ...{ service, path, model: undefined, sinceWallMs: 1_800_000_000_000 },
    crashes: [
      {
        ...{ upstream: UPSTREAM, service, softwareVersion: 'v1', runMs: at, chance: 0.0123456789 },
        ...{ isTrial: false, state: 'ended' as const, hasPriorProof: false, companions },
      },
    ],
  }));
}

function configuration(): string {
  const customers = listOf(CUSTOMERS, (at) => ({
    ...{ name: `customer-${at}`, keys: [`${ID}${at}-a`, `${ID}${at}-b`] },
    ...{ priority: at % 4, rate: 10, burst: 5 },
  }));
  const routes = [{ name: 'r', kind: 'streaming', service: 'engine', resumable: true }];
  const models = listOf(MODELS, (at) => ({
    ...{ name: `model-with-a-long-name-${at}`, weights_mb: 16_000, load_s: 20.5, warm_s: 4.5 },
    ...{ disk_s: 12.5, adapters: 40, adapter_mb: 150 },
  }));
  const engine = { models, weights_mb: 80_000, adapter_slots: 8, loads_per_s: 0.5 };
  const services = [{ name: 'engine', max_conns: 100, engine }];
  return JSON.stringify({ ...configurationOf(1, 'h', routes, customers), services }, undefined, 2);
}

// Guards against a bound that refuses a configuration of the size that the system is designed for.
test('a configuration of the design size is read, a larger text is refused before it is parsed', (t) => {
  const text = configuration();
  t.log(`${text.length} characters`);
  t.true(decodeTable(text).ok);
  t.true(decodeTable(text + PADDING).err);
});

// Guards against a bound by which the record of a large service document counts as a removed one.
test('the record of a document is read, also beyond the design size', (t) => {
  const sidecarAddresses = listOf(
    UPSTREAMS,
    (at) => `10.${Math.floor(at / 200)}.${at % 200}.200:14443`,
  );
  const models = listOf(MODELS, (at) => `notice-with-a-name-${at}`);
  const document = JSON.stringify(
    serviceDocument({ sidecarAddresses, keys: ['k'], models }),
    undefined,
    2,
  );
  const value = JSON.stringify({ format: 1, document, audit: [] });
  t.log(`${value.length} characters`);
  const item = { key: 'p/s', value, revision: 1 as Revision };
  t.is(recordOf(item, 'p/', 'cantabrico').value.length, document.length);
  const padded = recordOf({ ...item, value: value + PADDING }, 'p/', 'cantabrico');
  t.is(padded.value.length, document.length);
});

// Guards against a bound that refuses the records of today: a lost record is lost evidence against a request.
test('a full record of suspects is read, a larger text is refused before it is parsed', (t) => {
  const text = JSON.stringify({ suspects: suspects('/v1/draft') });
  t.log(`${text.length} characters`);
  t.is(decodeSuspects(text)?.length, SUSPECTS);
  t.is(decodeSuspects(text + PADDING), undefined);
});

// Guards against an entry that writes a record of suspects which no entry reads.
test('a record of suspects with long paths is written within the bound', (t) => {
  let written: string | undefined;
  const table = new SuspectTable({ name: 't', changed: () => {}, judged: () => {} });
  const store = new SuspectStore({
    ...{ book: table, prefix: '', log: silentLog, learn: () => {}, isLeftToHolder: () => false },
    swap: ({ value }) => {
      written = value;
      return Promise.resolve(result.Ok({ type: 'swapped', revision: 2 as Revision }));
    },
  });
  for (const suspect of suspects(`/${'x'.repeat(LONG_PATH)}`)) {
    table.add(suspect, 0);
    store.changed(suspect, 0, true);
  }
  store.tick(5000);
  const read = decodeSuspects(written!)!;
  t.true(read.length > 0);
  // The shortest runs are the strongest evidence.
  t.deepEqual(
    read.map(({ crashes }) => crashes[0]!.runMs),
    listOf(read.length, (at) => at),
  );
});
