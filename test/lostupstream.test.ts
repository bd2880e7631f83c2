import test from 'ava';
import type { ModelId, ServiceId, UpstreamId } from '../src/base/index.js';
import { LostUpstreams } from '../src/direct/orders/lostupstreams.js';
import { Fleet } from '../src/direct/route/index.js';

const SERVICE = 's' as ServiceId;
const MODEL = 'm1' as ModelId;
const NEED = { service: SERVICE, model: MODEL };

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

test('an upstream whose connections do not open is no place for a model, until it is tried again', (t) => {
  const fleet = fleetOf('u1');
  const state = fleet.get('u1' as UpstreamId)!;
  fleet.learn(state, 'unreachable', NEED, 1000);
  t.is(fleet.choose(NEED, 1100, { alsoLost: false }), undefined);
  t.deepEqual(fleet.lost(1100), ['u1' as UpstreamId]);
  t.is(fleet.choose(NEED, 2600, { alsoLost: false }), state);
  fleet.learn(state, 'answered', NEED, 2700);
  t.deepEqual(fleet.lost(2700), []);
});

test('one that lacks its model right after a failure has started anew; without one it only lacks it', (t) => {
  const fleet = fleetOf('u1', 'u2');
  const [failed, sound] = [fleet.get('u1' as UpstreamId)!, fleet.get('u2' as UpstreamId)!];
  fleet.learn(failed, 'answered', NEED, 500);
  fleet.learn(failed, 'failed', NEED, 1000);
  fleet.learn(failed, 'missing', NEED, 1100);
  fleet.learn(sound, 'answered', NEED, 1000);
  fleet.learn(sound, 'missing', NEED, 1100);
  t.deepEqual(fleet.lost(1100), ['u1' as UpstreamId]);
});

test('the holder of orders takes an upstream as lost by the word of two entries, and not for long', (t) => {
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
