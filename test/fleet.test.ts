import test from 'ava';
import type { ModelId, ServiceId, UpstreamId } from '../src/base/index.js';
import type { Upstream } from '../src/core/upstreams/index.js';
import { Fleet } from '../src/direct/route/index.js';

const TARGET = { service: 's' as ServiceId, model: 'm' as ModelId };
const TARGET_MS = 300;

function upstream(id: string): Upstream {
  return {
    id: id as UpstreamId,
    service: TARGET.service,
    address: id,
    availabilityZone: 'z',
    slots: 10,
    isLeaving: false,
    models: new Map([[TARGET.model, { adapters: new Set<string>() }]]),
    warm: new Set(),
    onDisk: new Set(),
  } as unknown as Upstream;
}

/** Two engines; `first` runs some streams of this entry, whose last event arrived at 1000 ms. */
function fleetWith(streamCount: number) {
  const fleet = new Fleet('z');
  for (const id of ['first', 'second']) fleet.put(upstream(id));
  const state = fleet.get('first' as UpstreamId)!;
  Object.assign(state, { streamCount, inFlight: streamCount });
  fleet.recordGap(state, 30, TARGET_MS, 1000);
  return { fleet, state };
}

test('an engine whose streams all stall is taken for lost and reported as lost', (t) => {
  const { fleet, state } = fleetWith(3);
  t.false(fleet.isLost(state, 1400));
  t.true(fleet.isLost(state, 1700));
  t.deepEqual(fleet.lost(1700), ['first' as UpstreamId]);
  t.is(fleet.choose(TARGET, 1700, { includesLost: false })!.info.id, 'second' as UpstreamId);
});

test('an engine is no longer lost when an event arrives', (t) => {
  const { fleet, state } = fleetWith(3);
  fleet.recordGap(state, 700, TARGET_MS, 1700);
  t.false(fleet.isLost(state, 1750));
});

test('a single stalled stream is no evidence: it may have been preempted', (t) => {
  const { fleet, state } = fleetWith(1);
  t.false(fleet.isLost(state, 9000));
});

test('an entry whose event loop stalled does not take its engines for lost', (t) => {
  const { fleet, state } = fleetWith(3);
  fleet.resumed(9000);
  t.false(fleet.isLost(state, 9100));
  t.true(fleet.isLost(state, 9700));
});

test('the next prompt goes to a replica that is not processing one', (t) => {
  const { fleet, state } = fleetWith(1);
  Object.assign(state, { prefillCount: 1, unloadedFirstEventMs: 80 });
  t.is(fleet.choose(TARGET, 1010)!.info.id, 'second' as UpstreamId);
});

test('a stream is not continued at an upstream that started again with other software while its connection opened', (t) => {
  const fleet = new Fleet('z');
  fleet.put({ ...upstream('first'), softwareVersion: 'v1' });
  const origin = { service: TARGET.service, softwareVersion: 'v1', weightsVersion: undefined };
  const target = { ...TARGET, origin };
  const chosen = fleet.choose(target, 1000)!;
  t.true(fleet.maySend(chosen, target, 1000, 1001));
  fleet.remove(chosen.info.id);
  fleet.put({ ...upstream('first'), softwareVersion: 'v1.1' });
  t.false(fleet.maySend(chosen, target, 1000, 1002));
  t.is(fleet.choose(target, 1002), undefined);
  t.false(fleet.mayContinue(origin));
});

test('a stream is continued with the weights that began it', (t) => {
  const fleet = new Fleet('z');
  for (const version of [1, 2]) {
    const models = new Map([[TARGET.model, { version, adapters: new Set<string>() }]]);
    fleet.put({ ...upstream(`weights-${version}`), models });
  }
  const origin = { service: TARGET.service, softwareVersion: undefined, weightsVersion: '2' };
  t.is(fleet.choose({ ...TARGET, origin }, 1000)!.info.id, 'weights-2' as UpstreamId);
});
