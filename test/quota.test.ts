import test from 'ava';
import fc from 'fast-check';
import type { Quota } from '../src/core/access/index.js';
import { QuotaWorld, type Fault } from './support/quotaworld.js';

function quota(ratePerS: number): Quota {
  return { unit: 'tokens', ratePerS, burst: ratePerS, plainTokens: 200 };
}

/** Sixteen customers of different sizes. Each sends its limit divided by 1.8, and customers in `hot` six times that. */
function normalLoads(hot: readonly number[] = [], scale = 1) {
  const rates = [150, 80, 54, 40, 32, 27, 23, 20, 18, 16, 15, 13, 12, 11, 11, 10];
  return rates.map((thousands, at) => {
    const ratePerS = thousands * 1000 * scale;
    const sentPerS = (ratePerS / 1.8) * (hot.includes(at) ? 6 : 1);
    return { quota: quota(ratePerS), sentPerS, meanCost: 600 };
  });
}

test('below their limits no customer is refused, and most requests need no call to the holder', async (t) => {
  for (const entryCount of [4, 25, 68]) {
    // Larger deployments serve more requests.
    const loads = normalLoads([], Math.max(1, entryCount / 25));
    const world = new QuotaWorld({ entryCount, loads });
    await world.run(20_000);
    let sends = 0;
    for (const tally of world.tallies) {
      t.is(tally.refused + tally.unknown, 0, `${entryCount} entries`);
      sends += tally.sends.length;
    }
    t.true(world.drawCount < sends / 2, `${entryCount} entries: ${world.drawCount} of ${sends}`);
  }
});

test('a customer that sends six times its normal load gets its limit; the others are not affected', async (t) => {
  const hot = [1, 12];
  const world = new QuotaWorld({ entryCount: 25, loads: normalLoads(hot) });
  const ms = 30_000;
  await world.run(ms);
  world.tallies.forEach((tally, at) => {
    const { ratePerS, burst } = normalLoads()[at]!.quota;
    t.true(world.fullestWindow(at) <= 1, `customer ${at}: ${world.fullestWindow(at)}`);
    if (!hot.includes(at)) t.is(tally.refused + tally.unknown, 0, `customer ${at}`);
    else t.true(world.sent(at) >= 0.98 * ((ratePerS * ms) / 1000 + burst), `customer ${at}`);
  });
});

test('charges of requests that never run are refunded', async (t) => {
  // Half of the requests run, which is 0.75 of the limit.
  const loads = [{ quota: quota(60_000), sentPerS: 90_000, meanCost: 600 }];
  const world = new QuotaWorld({ entryCount: 9, loads, unrunShare: 0.5 });
  await world.run(20_000);
  t.is(world.tallies[0]!.refused, 0);
});

test('a new holder reserves capacity for entries that have not reported to it', async (t) => {
  const loads = [{ quota: quota(60_000), sentPerS: 360_000, meanCost: 600 }];
  // All but four entries are partitioned for longer than a window; then the holder is lost.
  const cuts = Array.from({ length: 21 }, (_one, at) => ({
    atMs: 500,
    type: 'cut' as const,
    entry: at + 4,
    forMs: 14_000,
  }));
  const lost = { atMs: 900, type: 'lose-holder' as const, entry: 0, forMs: 12_000 };
  const world = new QuotaWorld({ entryCount: 25, loads, faults: [...cuts, lost] });
  await world.run(16_000);
  t.true(world.fullestWindow(0) <= 1, String(world.fullestWindow(0)));
});

const FAULT: fc.Arbitrary<Fault> = fc.record({
  atMs: fc.integer({ min: 500, max: 14_000 }),
  type: fc.constantFrom(
    'kill' as const,
    'freeze' as const,
    'cut' as const,
    'lose-holder' as const,
    'kill-all' as const,
  ),
  entry: fc.nat(24),
  forMs: fc.integer({ min: 50, max: 12_000 }),
});

test('no window exceeds the limit under any faults of entries and holders', async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(FAULT, { minLength: 1, maxLength: 8 }),
      fc.integer(),
      fc.constantFrom(3, 9, 25),
      async (faults, seed, entryCount) => {
        const loads = [
          { quota: quota(10_000), sentPerS: 60_000, meanCost: 900 },
          { quota: quota(60_000), sentPerS: 240_000, meanCost: 600 },
          { quota: quota(150_000), sentPerS: 500_000, meanCost: 400 },
        ];
        const options = { entryCount, loads, faults, seed, unrunShare: 0.1 };
        const world = new QuotaWorld(options);
        await world.run(18_000);
        for (const at of loads.keys()) {
          if (world.fullestWindow(at) > 1) return false;
        }
        return true;
      },
    ),
    { numRuns: 25 },
  );
  t.pass();
});
