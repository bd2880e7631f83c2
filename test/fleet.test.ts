import test from 'ava';
import type { ModelId, ServiceId, UpstreamId } from '../src/base/index.js';
import type { Upstream } from '../src/core/upstreams/index.js';
import { Fleet } from '../src/direct/route/index.js';

const NEED = { service: 's' as ServiceId, model: 'm' as ModelId };
const TARGET_MS = 300;

function upstream(id: string): Upstream {
  return {
    id: id as UpstreamId,
    service: NEED.service,
    address: id,
    availabilityZone: 'z',
    slots: 10,
    isLeaving: false,
    models: new Map([[NEED.model, { adapters: new Set<string>() }]]),
    warm: new Set(),
    onDisk: new Set(),
  } as unknown as Upstream;
}

/** Two engines; `first` runs some of this entry's streams, the last event of which came at 1000 ms. */
function fleetWith(streamCount: number) {
  const fleet = new Fleet('z');
  for (const id of ['first', 'second']) fleet.put(upstream(id));
  const state = fleet.get('first' as UpstreamId)!;
  Object.assign(state, { streamCount, inFlight: streamCount });
  fleet.learnGap(state, 30, TARGET_MS, 1000);
  return { fleet, state };
}

test('an engine whose streams all stand still is taken for lost, and told of', (t) => {
  const { fleet, state } = fleetWith(3);
  t.false(fleet.isLost(state, 1400));
  t.true(fleet.isLost(state, 1700));
  t.deepEqual(fleet.lost(1700), ['first' as UpstreamId]);
  t.is(fleet.choose(NEED, 1700, { alsoLost: false })!.info.id, 'second' as UpstreamId);
});

test('it is not lost any more when an event comes', (t) => {
  const { fleet, state } = fleetWith(3);
  fleet.learnGap(state, 700, TARGET_MS, 1700);
  t.false(fleet.isLost(state, 1750));
});

test('one stream that stands still says nothing: it may have been preempted', (t) => {
  const { fleet, state } = fleetWith(1);
  t.false(fleet.isLost(state, 9000));
});

test('an entry that stood still itself does not blame its engines', (t) => {
  const { fleet, state } = fleetWith(3);
  fleet.woke(9000);
  t.false(fleet.isLost(state, 9100));
  t.true(fleet.isLost(state, 9700));
});

test('a replica that reads no prompt takes the next one', (t) => {
  const { fleet, state } = fleetWith(1);
  Object.assign(state, { readingCount: 1, calmFirstMs: 80 });
  t.is(fleet.choose(NEED, 1010)!.info.id, 'second' as UpstreamId);
});
