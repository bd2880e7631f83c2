import test from 'ava';
import { systemClock, type ServiceId } from '../src/base/index.js';
import { PlatformRig } from './support/platformrig.js';
import { PlatformServer } from '../standin/platform/index.js';

const SERVICE = 'plain' as ServiceId;

function allowedRetries(rig: PlatformRig): number {
  return rig.entry.budgetOf(SERVICE).usage(systemClock.nowMs()).allowed;
}

// Guards against an entry that spends its part of the budget once more after each restart.
test('an entry that starts again allows no retry in its first window', async (t) => {
  const rig = new PlatformRig();
  t.teardown(() => rig.close());
  await rig.start([new PlatformServer('p1', 'plain')]);
  t.true(allowedRetries(rig) > 0);
  await rig.until(() => rig.findLine('order turn taken') !== undefined);
  rig.stopEntry(0);
  await rig.startEntry(0);
  await rig.until(() => rig.entry.isReady());
  for (let at = 0; at < 50; at += 1) rig.entry.budgetOf(SERVICE).request(systemClock.nowMs());
  t.is(allowedRetries(rig), 0);
});
