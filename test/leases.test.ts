import test from 'ava';
import { VirtualClock } from '../src/base/index.js';
import { SharedLeases } from '../src/entry/tickets/sharedleases.js';
import { MemoryStore } from '../standin/index.js';

const VALID_MS = 60_000;

test('key mappings share a store lease for 30 s, and then request the next one with a single call', async (t) => {
  const clock = new VirtualClock();
  const store = new MemoryStore({ clock });
  const leases = new SharedLeases({ store, clock });
  const coverTogether = () =>
    Promise.all(
      Array.from({ length: 20 }, async () => {
        const lease = await leases.leaseFor(clock.nowMs(), VALID_MS);
        return lease.unwrap();
      }),
    );
  t.deepEqual([...new Set(await coverTogether())], ['1']);
  clock.advanceTo(30_000);
  t.deepEqual([...new Set(await coverTogether())], ['1']);
  clock.advanceTo(30_001);
  t.deepEqual([...new Set(await coverTogether())], ['2']);
  store.faults.down = true;
  clock.advanceTo(70_000);
  t.true((await leases.leaseFor(clock.nowMs(), VALID_MS)).err);
  store.faults.down = false;
  t.deepEqual([...new Set(await coverTogether())], ['3']);
});
