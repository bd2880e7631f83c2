import test from 'ava';
import type { ServiceId, UpstreamId } from '../src/base/index.js';
import { isLoadAware } from '../src/core/loadmode/index.js';
import type { Upstream } from '../src/core/upstreams/index.js';
import { Fleet } from '../src/direct/route/index.js';

const PLAIN = 'plain' as ServiceId;
const ENGINE = 'engine' as ServiceId;

function upstream(id: string, service: ServiceId): Upstream {
  const listed = { id: id as UpstreamId, service, address: id, availabilityZone: 'z', slots: 10 };
  return { ...listed, isLeaving: false, models: new Map() } as unknown as Upstream;
}

// Guards against a deployment that is served another way than its configuration and its setting ask for.
test('a service is load-aware if its upstreams report their pace, unless the setting decides', (t) => {
  const cases = [
    ['auto', false, false],
    ['auto', true, true],
    ['on', false, true],
    ['off', true, false],
  ] as const;
  for (const [setting, reportsPace, expected] of cases) {
    t.is(isLoadAware({ setting, reportsPace }), expected);
  }
});

// Guards against one service that reports its pace changing how the others are served.
test('a reported pace makes only the service of its upstream load-aware', (t) => {
  const fleet = new Fleet('z');
  fleet.put(upstream('p', PLAIN));
  fleet.put(upstream('e', ENGINE));
  fleet.setLoadMode('auto');
  t.false(fleet.hasLoadAware());
  const state = fleet.get('e' as UpstreamId)!;
  fleet.recordLoad(state, { running: 1, waiting: 0, workPercent: 160 }, 0);
  t.true(fleet.isLoadAware(ENGINE));
  t.false(fleet.isLoadAware(PLAIN));
  fleet.remove('e' as UpstreamId);
  t.true(fleet.isLoadAware(ENGINE));
});

// Guards against an absurd figure that counts as evidence that upstreams differ in pace.
test('a service whose upstreams report no plausible pace is not load-aware', (t) => {
  const fleet = new Fleet('z');
  fleet.put(upstream('e', ENGINE));
  fleet.setLoadMode('auto');
  const state = fleet.get('e' as UpstreamId)!;
  for (const workPercent of [undefined, 0, 9, 1001, NaN, Infinity]) {
    fleet.recordLoad(state, { running: 1, waiting: 0, workPercent }, 0);
  }
  t.false(fleet.isLoadAware(ENGINE));
  t.is(fleet.paceOf(state, 0), 1);
});

// Guards against loads of a service that is not load-aware leaving the entry or entering its choices.
test('a service that is not load-aware neither reports nor uses shared loads', (t) => {
  const fleet = new Fleet('z');
  fleet.put(upstream('e', ENGINE));
  const state = fleet.get('e' as UpstreamId)!;
  state.inFlight = 3;
  fleet.recordLoad(state, { running: 7, waiting: 0 }, 1000);
  fleet.recordSharedLoads([{ upstream: state.info.id, running: 50 }], 1100);
  t.deepEqual(fleet.ownLoads(), []);
  t.is(fleet.load(state.info.id, 1000), 7);
  t.is(fleet.load(state.info.id, 2000), 5);
  t.is(fleet.utilization(state, 2000), 0.5);
});
