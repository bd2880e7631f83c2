import test from 'ava';
import { VirtualClock, type ModelId, type ServiceId } from '../src/base/index.js';
import { DemandMeter, type FoundNeed } from '../src/direct/orders/index.js';
import { Fleet } from '../src/direct/route/index.js';
import { Seeker } from '../src/direct/seeker.js';

const NEED = { service: 's' as ServiceId, model: 'm' as ModelId };
/** How long nobody gives orders where the holder cannot be reached. */
const VACANT_MS = 2000;
const WAITER = { heldMs: 0, targetMs: 250, place: 0 };

interface Ended {
  readonly type: string;
  readonly retryAfterMs?: number;
  readonly atMs: number;
}

/** Seeks in virtual time; undefined if it has not ended by `untilMs`. */
async function seek(
  answers: (nowMs: number) => FoundNeed | undefined,
  remainingMs: number,
  untilMs: number,
): Promise<Ended | undefined> {
  const clock = new VirtualClock();
  const fleet = new Fleet('z');
  const meter = new DemandMeter('e', 'a');
  const log = { info() {}, warn() {}, error() {} };
  const ask = () => Promise.resolve(answers(clock.nowMs()));
  const seeker = new Seeker({ clock, log, fleet, meter, ask, ordersInMs: () => VACANT_MS });
  let ended: Ended | undefined;
  void seeker.seek(NEED, { ...WAITER, remainingMs }).then((found) => {
    ended = { ...found, atMs: clock.nowMs() };
  });
  while (clock.nowMs() < untilMs && !ended) {
    for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
    clock.advanceTo(clock.nowMs() + 5);
  }
  return ended;
}

test('a request with no time left ends and does not keep the process busy', async (t) => {
  const ended = await seek(() => ({ type: 'later', inMs: 60, isUnderWay: false }), 20, 1000);
  t.is(ended?.type, 'unavailable');
  t.true(ended!.atMs < 200);
});

test('a load that is under way is told at once, with the time at which it should be there', async (t) => {
  const ended = await seek(() => ({ type: 'later', inMs: 1700, isUnderWay: true }), 10_000, 5000);
  t.is(ended?.type, 'unavailable');
  t.true(ended!.atMs <= 60);
  // Not before the load, and in the part of its time that leaves it another try.
  t.true(ended!.retryAfterMs! >= 1700 && ended!.retryAfterMs! <= 2000);
});

test('while nobody gives orders, its caller is told at once when there should be a holder and a load', async (t) => {
  const ended = await seek(() => undefined, 10_000, 20_000);
  t.is(ended?.type, 'unavailable');
  t.true(ended!.atMs <= 60);
  t.true(ended!.retryAfterMs! >= VACANT_MS + 900 && ended!.retryAfterMs! < VACANT_MS + 1500);
});

test('what is under way and should be there soon is waited for, and no longer than callers stay', async (t) => {
  const inTime = await seek(() => ({ type: 'later', inMs: 120, isUnderWay: true }), 10_000, 5000);
  t.is(inTime?.type, 'unavailable');
  t.true(inTime!.atMs >= 1300 && inTime!.atMs <= 1550);
});
