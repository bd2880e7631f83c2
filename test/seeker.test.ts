import test from 'ava';
import { VirtualClock, type ModelId, type ServiceId } from '../src/base/index.js';
import { DemandMeter, type FindAnswer } from '../src/direct/orders/index.js';
import { Fleet } from '../src/direct/route/index.js';
import { TargetFinder } from '../src/direct/targetfinder.js';

const TARGET = { service: 's' as ServiceId, model: 'm' as ModelId };
/** How long no process may send orders if the holder cannot be reached. */
const VACANT_MS = 2000;
const WAITER = { heldMs: 0, targetMs: 250, place: 0 };

interface Ended {
  readonly type: string;
  readonly retryAfterMs?: number;
  readonly atMs: number;
}

/** Runs `waitForTarget` in virtual time; undefined if it has not ended by `untilMs`. */
async function findWithin(
  answers: (nowMs: number) => FindAnswer | undefined,
  remainingMs: number,
  untilMs: number,
): Promise<Ended | undefined> {
  const clock = new VirtualClock();
  const fleet = new Fleet('z');
  const meter = new DemandMeter('e', 'a');
  const log = { info() {}, warn() {}, error() {} };
  const ask = () => Promise.resolve(answers(clock.nowMs()));
  const finder = new TargetFinder({ clock, log, fleet, meter, ask, ordersInMs: () => VACANT_MS });
  let ended: Ended | undefined;
  void finder.waitForTarget(TARGET, { ...WAITER, remainingMs }).then((found) => {
    ended = { ...found, atMs: clock.nowMs() };
  });
  while (clock.nowMs() < untilMs && !ended) {
    for (let round = 0; round < 20; round += 1) await Promise.resolve();
    clock.advanceTo(clock.nowMs() + 5);
  }
  return ended;
}

test('a request with no time left ends and does not block the event loop', async (t) => {
  const ended = await findWithin(() => ({ type: 'later', inMs: 60, isUnderWay: false }), 20, 1000);
  t.is(ended?.type, 'unavailable');
  t.true(ended!.atMs < 200);
});

test('a load in progress is reported at once, with the time at which it should be done', async (t) => {
  const ended = await findWithin(
    () => ({ type: 'later', inMs: 1700, isUnderWay: true }),
    10_000,
    5000,
  );
  t.is(ended?.type, 'unavailable');
  t.true(ended!.atMs <= 60);
  // Not before the load is done, and early enough for another try.
  t.true(ended!.retryAfterMs! >= 1700 && ended!.retryAfterMs! <= 2000);
});

test('without a lease holder the caller is refused at once, with the expected time of a load', async (t) => {
  const ended = await findWithin(() => undefined, 10_000, 20_000);
  t.is(ended?.type, 'unavailable');
  t.true(ended!.atMs <= 60);
  t.true(ended!.retryAfterMs! >= VACANT_MS + 900 && ended!.retryAfterMs! < VACANT_MS + 1500);
});

test('a load that should be done soon is waited for, and no longer than callers stay', async (t) => {
  const inTime = await findWithin(
    () => ({ type: 'later', inMs: 120, isUnderWay: true }),
    10_000,
    5000,
  );
  t.is(inTime?.type, 'unavailable');
  t.true(inTime!.atMs >= 1300 && inTime!.atMs <= 1550);
});
