import test from 'ava';
import { VirtualClock, type ServiceId, type UpstreamId } from '../src/base/index.js';
import { DirectEntry } from '../src/direct/index.js';
import { PlatformServer } from '../standin/platform/index.js';
import { freePort } from './support/freeport.js';
import { PlatformRig } from './support/platformrig.js';

const LOG = { info() {}, warn() {}, error() {} };
const METRICS = { count() {}, gauge() {}, histogram() {} };
const ID = 'p1' as UpstreamId;
const SERVICE = 'plain' as ServiceId;
const INFO = { service: SERVICE, address: '', availabilityZone: 'z', slots: 4, isLeaving: false };

/** Returns the times within the first second at which an entry reports. */
async function reportTimes(setting: 'on' | 'off'): Promise<number[]> {
  const clock = new VirtualClock();
  const never = new Promise<never>(() => {});
  const entry = new DirectEntry({
    settings: {
      ...{ host: 'e1', availabilityZone: 'z', cores: 1, orderTurnMs: 300, loadAware: setting },
      peerListen: { host: '127.0.0.1', port: await freePort() },
      quotaTerms: { windowMs: 8000, overshoot: 0, slack: 0 },
    },
    ...{ clock, log: LOG, metrics: METRICS, codec: { watchedPrefix: '', ownPrefix: 'own/' } },
    feed: { list: () => never, changes: () => never, swap: () => never },
    link: { close() {}, busiest: () => undefined },
  } as unknown as ConstructorParameters<typeof DirectEntry>[0]);
  const times: number[] = [];
  const reporter = { report: () => times.push(clock.nowMs()), close() {} };
  Object.assign(entry, { reporter });
  entry.fleet.put({ ...INFO, id: ID, models: new Map() } as never);
  entry.fleet.setLoadMode(setting);
  await entry.start();
  clock.advanceTo(1000);
  entry.close();
  return times;
}

// Guards against loads of other entries that are known too late, and against more reports where nothing is shared.
test('an entry reports every 100 ms while a service is load-aware, otherwise every 250 ms', async (t) => {
  t.deepEqual(await reportTimes('off'), [250, 500, 750, 1000]);
  t.deepEqual(await reportTimes('on'), [100, 200, 300, 400, 500, 600, 700, 800, 900, 1000]);
});

// Guards against loads that are lost on the way between the processes of entries, or between reporter and fleet.
test('entries of a load-aware service know of each other’s requests over their connections', async (t) => {
  const rig = new PlatformRig();
  await rig.start([new PlatformServer(ID, SERVICE)], true, 3);
  for (const at of [0, 1, 2]) rig.entryOf(at).fleet.setLoadMode('on');
  await rig.untilAcquainted();
  const fleets = [0, 1, 2].map((at) => rig.entryOf(at).fleet);
  t.true(fleets.every((fleet) => fleet.isLoadAware(SERVICE)));
  for (const [at, fleet] of fleets.entries()) fleet.get(ID)!.inFlight = at + 1;
  const { clock } = rig.entry;
  await rig.until(() => fleets.every((fleet) => fleet.load(ID, clock.nowMs()) === 6));
  rig.close();
  t.pass();
});
