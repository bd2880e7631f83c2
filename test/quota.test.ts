import test from 'ava';
import fc from 'fast-check';
import type { Quota } from '../src/core/access/index.js';
import { QuotaWorld, type Trouble } from './support/quotaworld.js';

function quota(ratePerS: number): Quota {
  return { unit: 'tokens', ratePerS, burst: ratePerS, plainTokens: 200 };
}

/** Sixteen customers, a few of them large, each with 1.8 times the limit of what it sends. */
function usualLoads(hot: readonly number[] = [], scale = 1) {
  const rates = [150, 80, 54, 40, 32, 27, 23, 20, 18, 16, 15, 13, 12, 11, 11, 10];
  return rates.map((thousands, at) => {
    const ratePerS = thousands * 1000 * scale;
    const sentPerS = (ratePerS / 1.8) * (hot.includes(at) ? 6 : 1);
    return { quota: quota(ratePerS), sentPerS, meanCost: 600 };
  });
}

test('below their limits no customer is refused, and most requests ask nobody', async (t) => {
  for (const entryCount of [4, 25, 68]) {
    // More entries are there for more requests.
    const loads = usualLoads([], Math.max(1, entryCount / 25));
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

test('a customer that sends six times its usual gets its limit and no more; the others lose nothing', async (t) => {
  const hot = [1, 12];
  const world = new QuotaWorld({ entryCount: 25, loads: usualLoads(hot) });
  const ms = 30_000;
  await world.run(ms);
  world.tallies.forEach((tally, at) => {
    const { ratePerS, burst } = usualLoads()[at]!.quota;
    t.true(world.fullestWindow(at) <= 1, `customer ${at}: ${world.fullestWindow(at)}`);
    if (!hot.includes(at)) t.is(tally.refused + tally.unknown, 0, `customer ${at}`);
    else t.true(world.sent(at) >= 0.98 * ((ratePerS * ms) / 1000 + burst), `customer ${at}`);
  });
});

test('what is paid for and never runs is given back', async (t) => {
  // Half of what is asked for runs: 0.75 of the limit.
  const loads = [{ quota: quota(60_000), sentPerS: 90_000, meanCost: 600 }];
  const world = new QuotaWorld({ entryCount: 9, loads, unrunShare: 0.5 });
  await world.run(20_000);
  t.is(world.tallies[0]!.refused, 0);
});

test('a successor leaves room for entries that it has never heard', async (t) => {
  const loads = [{ quota: quota(60_000), sentPerS: 360_000, meanCost: 600 }];
  // All but four of them are cut off, each for longer than a window; then the holder is lost.
  const cuts = Array.from({ length: 21 }, (_one, at) => ({
    atMs: 500,
    type: 'cut' as const,
    entry: at + 4,
    forMs: 14_000,
  }));
  const lost = { atMs: 900, type: 'lose-holder' as const, entry: 0, forMs: 12_000 };
  const world = new QuotaWorld({ entryCount: 25, loads, troubles: [...cuts, lost] });
  await world.run(16_000);
  t.true(world.fullestWindow(0) <= 1, String(world.fullestWindow(0)));
});

const TROUBLE: fc.Arbitrary<Trouble> = fc.record({
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

/** One or two of them take long, the others a second at most: else little is left that could send. */
test('whatever befalls entries and holders, no window holds more than a limit allows', async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(TROUBLE, { minLength: 1, maxLength: 8 }),
      fc.integer(),
      fc.constantFrom(3, 9, 25),
      async (troubles, seed, entryCount) => {
        const loads = [
          { quota: quota(10_000), sentPerS: 60_000, meanCost: 900 },
          { quota: quota(60_000), sentPerS: 240_000, meanCost: 600 },
          { quota: quota(150_000), sentPerS: 500_000, meanCost: 400 },
        ];
        const options = { entryCount, loads, troubles, seed, unrunShare: 0.1 };
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
