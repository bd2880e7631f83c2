import test from 'ava';
import { VirtualClock, type ModelId, type ServiceId } from '../src/base/index.js';
import type { Route } from '../src/core/routetable/index.js';
import { DemandMeter, type FoundNeed } from '../src/direct/orders/index.js';
import { Fleet } from '../src/direct/route/index.js';
import { Seeker } from '../src/direct/seeker.js';

const NEED = { service: 's' as ServiceId, model: 'm' as ModelId };
const ROUTE: Route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: 'streaming',
  timeoutMs: 10_000,
  targetLatencyMs: 250,
  priority: 1,
  destinations: [{ service: NEED.service, weight: 1 }],
  maxAttempts: 1,
  isResumable: false,
};

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
  const seeker = new Seeker({ clock, log, fleet, meter, ask });
  let ended: Ended | undefined;
  void seeker.seek(NEED, ROUTE, remainingMs).then((found) => {
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
  const ended = await seek(() => ({ type: 'later', inMs: 1200, isUnderWay: true }), 10_000, 5000);
  t.is(ended?.type, 'unavailable');
  t.true(ended!.atMs <= 60);
  t.true(ended!.retryAfterMs! >= 1200 && ended!.retryAfterMs! < 1400);
});

test('while nobody knows when, it waits; not so long that the caller has no time for another try', async (t) => {
  const ended = await seek(() => undefined, 10_000, 20_000);
  t.is(ended?.type, 'unavailable');
  t.true(ended!.atMs > 4000 && ended!.atMs < 6000);
});
