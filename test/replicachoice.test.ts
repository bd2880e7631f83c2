import test from 'ava';
import { pickReplica, sampleSize } from '../src/core/replicachoice/index.js';
import type { ModelId, ServiceId, UpstreamId } from '../src/base/index.js';
import { LoadBook } from '../src/direct/orders/loadbook.js';
import { Fleet } from '../src/direct/route/index.js';

const REPLICAS = 40;
const SLOTS = 12;

/**
 * 68 entries send 360 requests a second, each of which runs for 0.75 s, and hear of all loads every 250 ms; gives the
 * part of the requests that came to an engine with all slots taken.
 */
function waitingShare(entriesAsTold: number): number {
  const endsMs: number[][] = Array.from({ length: REPLICAS }, () => []);
  let told = endsMs.map(() => 0);
  const own = new Map<string, number>();
  let waiting = 0;
  const count = 7200;
  for (let at = 0; at < count; at += 1) {
    const nowMs = (at * 1000) / 360;
    if (at % 90 === 0) {
      told = endsMs.map((ends) => ends.filter((endMs) => endMs > nowMs).length);
      own.clear();
    }
    const entry = at % 68;
    const replicas = told.map((load, id) => {
      const ownLoad = own.get(`${entry}/${id}`) ?? 0;
      return { id: `u${id}`, cost: (load + ownLoad) / SLOTS, isGood: load + ownLoad < SLOTS };
    });
    const picked = Number(pickReplica(replicas, entriesAsTold, `request-${at}`)!.id.slice(1));
    own.set(`${entry}/${picked}`, (own.get(`${entry}/${picked}`) ?? 0) + 1);
    const ends = endsMs[picked]!.filter((endMs) => endMs > nowMs);
    if (ends.length >= SLOTS) waiting += 1;
    ends.push(nowMs + 750);
    endsMs[picked] = ends;
  }
  return waiting / count;
}

test('many entries that hear of loads late do not all send to the same replica', (t) => {
  const sampled = waitingShare(68);
  // As four entries would weigh them, all of these entries choose the same one.
  const all = waitingShare(1);
  t.log({ sampled, all });
  t.true(sampled < 0.02);
  t.true(all > 0.2);
});

test('four entries weigh nearly all replicas, and the best one takes the request', (t) => {
  t.is(sampleSize(3, 4), 2);
  t.is(sampleSize(8, 4), 4);
  t.is(sampleSize(40, 68), 2);
  const replicas = ['a', 'b', 'c'].map((id, at) => ({ id, cost: 3 - at, isGood: true }));
  t.is(pickReplica(replicas, 1, 'r')!.id, 'c');
});

test('a full replica is chosen only where no other is left', (t) => {
  const full = { id: 'a', cost: 0, isGood: false };
  const good = { id: 'b', cost: 5, isGood: true };
  t.is(pickReplica([full, good], 68, 'r'), good);
  t.is(pickReplica([full], 68, 'r'), full);
  t.is(pickReplica([], 68, 'r'), undefined);
});

test('an entry learns what the others have at each upstream, and forgets entries that are gone', (t) => {
  const book = new LoadBook();
  const [first, second] = ['u1', 'u2'] as UpstreamId[];
  const base = { address: 'a', models: [], lost: [] };
  book.take({ ...base, entry: 'e1', inFlight: [[first!, 3]] }, 0);
  book.take(
    {
      ...base,
      entry: 'e2',
      inFlight: [
        [first!, 4],
        [second!, 1],
      ],
    },
    900,
  );
  t.deepEqual(book.totals(1000), [
    [first!, 7],
    [second!, 1],
  ]);
  t.deepEqual(book.totals(2000), [
    [first!, 4],
    [second!, 1],
  ]);

  const fleet = new Fleet('z');
  const need = { service: 's' as ServiceId, model: 'm' as ModelId };
  for (const id of [first!, second!]) {
    const models = new Map([[need.model, { version: 1, adapters: new Set<string>() }]]);
    const info = { id, service: need.service, address: id, availabilityZone: 'z', slots: 10 };
    fleet.put({ ...info, isLeaving: false, models, warm: new Set(), onDisk: new Set() });
  }
  fleet.learnTotals(book.totals(2000), [[first!, 1]], 2000);
  t.is(fleet.load(first!, 2000), 3);
  t.is(fleet.choose(need, new Set(), 2000)!.info.id, second!);
});
