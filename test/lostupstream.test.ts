import test from 'ava';
import type { ModelId, ServiceId, UpstreamId } from '../src/base/index.js';
import { LostUpstreams } from '../src/direct/orders/lostupstreams.js';
import { Fleet } from '../src/direct/route/index.js';

const SERVICE = 's' as ServiceId;
const MODEL = 'm1' as ModelId;
const TARGET = { service: SERVICE, model: MODEL };

function fleetOf(...ids: string[]): Fleet {
  const fleet = new Fleet('z');
  for (const id of ids) {
    fleet.put({
      id: id as UpstreamId,
      service: SERVICE,
      address: '10.0.0.1:1',
      availabilityZone: 'z',
      slots: 4,
      isLeaving: false,
      models: new Map([[MODEL, { version: 1, adapters: new Set<string>() }]]),
      warm: new Set(),
      onDisk: new Set(),
    });
  }
  return fleet;
}

test('an unreachable upstream counts as lost until it may be tried again', (t) => {
  const fleet = fleetOf('u1');
  const state = fleet.get('u1' as UpstreamId)!;
  fleet.recordOutcome(state, 'unreachable', TARGET, 1000);
  t.is(fleet.choose(TARGET, 1100, { includesLost: false }), undefined);
  t.deepEqual(fleet.lost(1100), ['u1' as UpstreamId]);
  t.is(fleet.choose(TARGET, 2600, { includesLost: false }), state);
  fleet.recordOutcome(state, 'answered', TARGET, 2700);
  t.deepEqual(fleet.lost(2700), []);
});

test('an upstream that lacks its model has restarted if a failure came right before, and not otherwise', (t) => {
  const fleet = fleetOf('u1', 'u2');
  const [failed, sound] = [fleet.get('u1' as UpstreamId)!, fleet.get('u2' as UpstreamId)!];
  fleet.recordOutcome(failed, 'answered', TARGET, 500);
  fleet.recordOutcome(failed, 'failed', TARGET, 1000);
  fleet.recordOutcome(failed, 'missing', TARGET, 1100);
  fleet.recordOutcome(sound, 'answered', TARGET, 1000);
  fleet.recordOutcome(sound, 'missing', TARGET, 1100);
  t.deepEqual(fleet.lost(1100), ['u1' as UpstreamId]);
});

test('the order lease holder takes an upstream for lost while two entries report it, for a limited time', (t) => {
  const book = new LostUpstreams();
  const id = 'u1' as UpstreamId;
  const report = (entry: string) => ({ entry, address: 'a', models: [], lost: [id] });
  book.take(report('e1'), 0);
  t.false(book.isLost(id, 0));
  book.take(report('e2'), 100);
  t.true(book.isLost(id, 200));
  t.false(book.isLost(id, 1050));
  book.take(report('e1'), 1050);
  t.true(book.isLost(id, 1060));
  book.take({ ...report('e2'), lost: [] }, 1070);
  t.false(book.isLost(id, 1080));
});
