import test from 'ava';
import fc from 'fast-check';
import { VirtualClock, type UpstreamId } from '../src/base/index.js';
import { settledAtMs } from '../src/core/sharedrate/index.js';
import { SlotBook, SlotDesk, type SlotAnswer } from '../src/direct/selfreport/index.js';
import { RateWorld, type RateTrouble } from './support/rateworld.js';

const ENTRY_COUNTS = [5, 25, 68];
const LIMITS = [0.2, 1, 2.3, 10, 50];
const FOR_MS = 20_000;
/** What is to be used of a limit while there are requests for it. */
const LEAST_USED = 0.9;
/** Times the limits that is asked for. */
const PRESS = 3;
/** A limit that allows fewer requests than this in the run says nothing of its use: one slot is too much of it. */
const LEAST_COUNTED = 40;

function pressOn(limits: readonly number[]): number {
  return PRESS * limits.reduce((sum, perS) => sum + perS, 0) + 10;
}

function fullest(world: RateWorld, limits: readonly number[]): number {
  return Math.max(...limits.map((_one, at) => world.fullestWindow(at)));
}

test('whatever the size and the limit, no window holds too much, and the limit is used', async (t) => {
  for (const entryCount of ENTRY_COUNTS) {
    for (const perS of LIMITS) {
      const limits = [perS, perS];
      const world = new RateWorld({ entryCount, limits, askedPerS: pressOn(limits) });
      await world.run(FOR_MS);
      const name = `${entryCount} entries, ${perS} a second`;
      t.true(fullest(world, limits) <= 1, `${name}: ${fullest(world, limits)}`);
      if ((2 * perS * FOR_MS) / 1000 < LEAST_COUNTED) continue;
      t.true(world.used() >= LEAST_USED, `${name}: ${world.used()} used`);
    }
  }
});

test('five hundred entries keep the limits of many upstreams at once', async (t) => {
  const limits = [2.3, 2.9, 0, 10];
  const world = new RateWorld({ entryCount: 520, limits, askedPerS: pressOn(limits) });
  await world.run(12_000);
  t.true(fullest(world, limits) <= 1, String(fullest(world, limits)));
});

test('an upstream that takes nothing is still asked now and then whether that holds', async (t) => {
  const world = new RateWorld({ entryCount: 5, limits: [0], askedPerS: 20 });
  await world.run(60_000);
  t.true(world.arrivals[0]!.length >= 3);
  t.true(world.fullestWindow(0) <= 1);
});

test('the world finds entries that each keep a part of the rate for themselves', async (t) => {
  const limits = [1];
  const world = new RateWorld({ entryCount: 25, limits, askedPerS: 20, way: 'parts' });
  await world.run(60_000);
  t.true(fullest(world, limits) > 1);
});

const TROUBLE: fc.Arbitrary<RateTrouble> = fc.record({
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

test('whatever befalls entries, holders and the store, no window holds too much', async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(TROUBLE, { minLength: 1, maxLength: 8 }),
      fc.integer(),
      fc.constantFrom(1, 3, 9, 25),
      fc.constantFrom([2.3, 10], [0.2, 50], [1, 5]),
      async (troubles, seed, entryCount, limits) => {
        const joining = { count: 3, atMs: 6000 };
        const askedPerS = pressOn(limits);
        const world = new RateWorld({ entryCount, limits, askedPerS, troubles, joining, seed });
        await world.run(18_000);
        return fullest(world, limits) <= 1;
      },
    ),
    { numRuns: Number(process.env.RATE_SEEDS ?? 60) },
  );
  t.pass();
});

test('slots begin once what was sent before the limit was known leaves room for them', (t) => {
  // 11 requests in 4 s are borne; 0.8 of them may lie in a window that began before.
  t.is(settledAtMs(1, 8, 1000), 1000);
  t.is(settledAtMs(1, 88, 1000), 1000 + 4000 * 0.9);
});

/** Lets answers that are due be acted on. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 6; turn += 1) await Promise.resolve();
}

test('a slot goes to the most urgent request that waits, then to the one that came first', async (t) => {
  const clock = new VirtualClock();
  const book = new SlotBook({ clock, share: () => 1 });
  const upstream = 'u' as UpstreamId;
  const order: string[] = [];
  const ask = (name: string, rank: number, waitMs: number) => {
    const question = { entry: 'e', news: { upstream }, rank, waitMs };
    void book.draw(question, 1).then((said: SlotAnswer) => order.push(`${name} ${said.type}`));
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

test('a slot is kept a little for the request that waited for it, then for whichever comes', async (t) => {
  const clock = new VirtualClock();
  const draw = () => Promise.resolve({ type: 'granted' as const });
  const desk = new SlotDesk({ clock, draw });
  const upstream = 'u' as UpstreamId;
  desk.want([upstream], { asker: 'waiting', rank: 1, waitMs: 500 }, 0);
  await settle();
  t.is(desk.opensInMs(upstream, 0, 'new'), Infinity);
  t.is(desk.opensInMs(upstream, 0, 'waiting'), 0);
  t.is(desk.opensInMs(upstream, 100, 'new'), 0);
  t.is(desk.opensInMs(upstream, 1000, 'waiting'), Infinity);
});

test('whoever waits is told at once when another process gives the slots out', async (t) => {
  const clock = new VirtualClock();
  let share = 1;
  const book = new SlotBook({ clock, share: () => share });
  const question = { entry: 'e', news: { upstream: 'u' as UpstreamId }, rank: 1, waitMs: 3000 };
  await book.draw(question, 1);
  const waiting = book.draw(question, 1);
  share = 0;
  clock.advanceTo(1000);
  t.is((await waiting).type, 'not-holder');
});
