import test from 'ava';
import { VirtualClock } from '../src/base/index.js';
import { Leases } from '../src/entry/tickets/leases.js';
import { MemoryStore } from '../standin/index.js';

const VALID_MS = 60_000;

test('mappings share a lease for half a minute, and ask for the next one together', async (t) => {
  const clock = new VirtualClock();
  const store = new MemoryStore({ clock });
  const leases = new Leases({ store, clock });
  const together = () =>
    Promise.all(
      Array.from({ length: 20 }, async () => {
        const lease = await leases.covering(clock.nowMs(), VALID_MS);
        return lease.unwrap();
      }),
    );
  t.deepEqual([...new Set(await together())], ['1']);
  clock.advanceTo(30_000);
  t.deepEqual([...new Set(await together())], ['1']);
  clock.advanceTo(30_001);
  t.deepEqual([...new Set(await together())], ['2']);
  store.faults.down = true;
  clock.advanceTo(70_000);
  t.true((await leases.covering(clock.nowMs(), VALID_MS)).err);
  store.faults.down = false;
  t.deepEqual([...new Set(await together())], ['3']);
});
