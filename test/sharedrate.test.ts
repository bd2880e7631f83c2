import test from 'ava';
import fc from 'fast-check';
import { VirtualClock, type UpstreamId } from '../src/base/index.js';
import { firstSlotAtMs } from '../src/core/sharedrate/index.js';
import { SlotSchedule, SlotClient, type SlotAnswer } from '../src/direct/selfreport/index.js';
import { RateWorld, type RateFault } from './support/rateworld.js';

const ENTRY_COUNTS = [5, 25, 68];
const LIMITS = [0.2, 1, 2.3, 10, 50];
const RUN_MS = 20_000;
/** Minimum fraction of a limit that has to be used under overload. */
const MIN_USED = 0.9;
/** Demand as a multiple of the sum of the limits. */
const OVERLOAD_FACTOR = 3;
/** Use is not checked for limits with fewer slots than this in the run, since a single slot weighs too much there. */
const MIN_SLOTS = 40;

function overload(limits: readonly number[]): number {
  return OVERLOAD_FACTOR * limits.reduce((sum, perS) => sum + perS, 0) + 10;
}

function fullest(world: RateWorld, limits: readonly number[]): number {
  return Math.max(...limits.map((_one, at) => world.fullestWindow(at)));
}

test('for any entry count and limit, no window exceeds the limit, and the limit is used', async (t) => {
  for (const entryCount of ENTRY_COUNTS) {
    for (const perS of LIMITS) {
      const limits = [perS, perS];
      const world = new RateWorld({ entryCount, limits, askedPerS: overload(limits) });
      await world.run(RUN_MS);
      const name = `${entryCount} entries, ${perS} a second`;
      t.true(fullest(world, limits) <= 1, `${name}: ${fullest(world, limits)}`);
      if ((2 * perS * RUN_MS) / 1000 < MIN_SLOTS) continue;
      t.true(world.used() >= MIN_USED, `${name}: ${world.used()} used`);
    }
  }
});

test('five hundred entries comply with the limits of several upstreams at once', async (t) => {
  const limits = [2.3, 2.9, 0, 10];
  const world = new RateWorld({ entryCount: 520, limits, askedPerS: overload(limits) });
  await world.run(12_000);
  t.true(fullest(world, limits) <= 1, String(fullest(world, limits)));
});

test('an upstream with a limit of zero still gets occasional requests', async (t) => {
  const world = new RateWorld({ entryCount: 5, limits: [0], askedPerS: 20 });
  await world.run(60_000);
  t.true(world.arrivals[0]!.length >= 3);
  t.true(world.fullestWindow(0) <= 1);
});

test('the simulation detects that a fixed part of the rate for each entry exceeds the limit', async (t) => {
  const limits = [1];
  const world = new RateWorld({ entryCount: 25, limits, askedPerS: 20, method: 'parts' });
  await world.run(60_000);
  t.true(fullest(world, limits) > 1);
});

const FAULT: fc.Arbitrary<RateFault> = fc.record({
  atMs: fc.integer({ min: 100, max: 14_000 }),
  type: fc.constantFrom(
    'kill' as const,
    'freeze' as const,
    'cut' as const,
    'lose-holder' as const,
    'store-away' as const,
  ),
  entry: fc.nat(24),
  forMs: fc.integer({ min: 50, max: 12_000 }),
});

test('no window exceeds the limit under any faults of entries, the order lease holder and the store', async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(FAULT, { minLength: 1, maxLength: 8 }),
      fc.integer(),
      fc.constantFrom(1, 3, 9, 25),
      fc.constantFrom([2.3, 10], [0.2, 50], [1, 5]),
      async (faults, seed, entryCount, limits) => {
        const joining = { count: 3, atMs: 6000 };
        const askedPerS = overload(limits);
        const world = new RateWorld({ entryCount, limits, askedPerS, faults, joining, seed });
        await world.run(18_000);
        return fullest(world, limits) <= 1;
      },
    ),
    { numRuns: Number(process.env.RATE_SEEDS ?? 60) },
  );
  t.pass();
});

test('the first slot waits until requests sent before the limit was known leave room in the window', (t) => {
  // 11 requests in 4 s are tolerated; 0.8 of them may lie in a window that began before the limit was known.
  t.is(firstSlotAtMs(1, 8, 1000), 1000);
  t.is(firstSlotAtMs(1, 88, 1000), 1000 + 4000 * 0.9);
});

/** Runs pending promise callbacks. */
async function settle(): Promise<void> {
  for (let round = 0; round < 6; round += 1) await Promise.resolve();
}

test('a slot goes to the most urgent waiting request, then to the oldest', async (t) => {
  const clock = new VirtualClock();
  const book = new SlotSchedule({ clock, share: () => 1 });
  const upstream = 'u' as UpstreamId;
  const order: string[] = [];
  const ask = (name: string, rank: number, waitMs: number) => {
    const request = { entry: 'e', news: { upstream }, rank, waitMs };
    void book.draw(request, 1).then((reply: SlotAnswer) => order.push(`${name} ${reply.type}`));
  };
  ask('first', 5, 5000);
  ask('calm', 5, 5000);
  ask('calm too', 5, 5000);
  ask('urgent', 1, 5000);
  ask('impatient', 0, 500);
  for (let atMs = 0; atMs <= 3000; atMs += 100) {
    clock.advanceTo(atMs);
    await settle();
  }
  t.deepEqual(order, [
    'first granted',
    'impatient later',
    'urgent granted',
    'calm granted',
    'calm too granted',
  ]);
});

test('a slot is reserved for the request that waited for it, then free for any request', async (t) => {
  const clock = new VirtualClock();
  const draw = () => Promise.resolve({ type: 'granted' as const });
  const client = new SlotClient({ clock, draw });
  const upstream = 'u' as UpstreamId;
  client.request([upstream], { requestId: 'waiting', rank: 1, waitMs: 500 }, 0);
  await settle();
  t.is(client.opensInMs(upstream, 0, 'new'), Infinity);
  t.is(client.opensInMs(upstream, 0, 'waiting'), 0);
  t.is(client.opensInMs(upstream, 100, 'new'), 0);
  t.is(client.opensInMs(upstream, 1000, 'waiting'), Infinity);
});

test('waiting requests get an answer as soon as this process is no longer the holder', async (t) => {
  const clock = new VirtualClock();
  let share = 1;
  const book = new SlotSchedule({ clock, share: () => share });
  const request = { entry: 'e', news: { upstream: 'u' as UpstreamId }, rank: 1, waitMs: 3000 };
  await book.draw(request, 1);
  const waiting = book.draw(request, 1);
  share = 0;
  clock.advanceTo(1000);
  t.is((await waiting).type, 'not-holder');
});
