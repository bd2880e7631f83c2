import test from 'ava';
import {
  choosePlace,
  forecast,
  upstreamForecastRules,
  type Candidate,
} from '../src/core/upstreamforecast/index.js';

const IDLE = {
  load: 0,
  slots: 24,
  pace: 1,
  unloadedFirstMs: 80,
  serviceMs: 2400,
  prefillCount: 0,
};
const DRAWS = 20_000;
const SEED_RANGE = 2 ** 32;
const TARGET_MS = 300;

function candidate(given: Partial<Candidate> = {}): Candidate {
  const known = { firstMs: 80, freePlaces: 10, nextFreeMs: 0, pace: 1 };
  return { ...known, isOwnZone: false, isPrefilling: false, risk: 0, ...given };
}

/** Returns the share of evenly spread seeds for which each candidate is chosen. */
function shares(candidates: readonly Candidate[]): number[] {
  const counts = candidates.map(() => 0);
  const choice = { candidates, count: candidates.length, targetMs: TARGET_MS };
  for (let draw = 0; draw < DRAWS; draw += 1) {
    const chosen = choosePlace(choice, Math.floor((draw / DRAWS) * SEED_RANGE))!;
    counts[candidates.indexOf(chosen)]! += 1;
  }
  return counts.map((count) => Math.round((count / DRAWS) * 100) / 100);
}

test('a first event takes longer by the pace, by prompts ahead and by the wait for a slot', (t) => {
  t.deepEqual(forecast(IDLE), { firstMs: 80, freePlaces: 24, nextFreeMs: 0 });
  t.is(forecast({ ...IDLE, pace: 1.5 }).firstMs, 120);
  t.is(forecast({ ...IDLE, prefillCount: 2 }).firstMs, 240);
  t.deepEqual(forecast({ ...IDLE, load: 24 }), { firstMs: 180, freePlaces: 0, nextFreeMs: 100 });
  t.is(forecast({ ...IDLE, load: 25, pace: 2 }).nextFreeMs, 400);
});

test('a load between two whole numbers counts as the nearest one', (t) => {
  t.is(forecast({ ...IDLE, load: 23.4 }).nextFreeMs, 0);
  t.true(forecast({ ...IDLE, load: 23.4 }).freePlaces > 0);
  t.is(forecast({ ...IDLE, load: 23.6 }).freePlaces, 0);
});

test('an upstream without measurements yields finite forecasts, so that it is tried', (t) => {
  const unknown = { ...IDLE, unloadedFirstMs: Infinity, serviceMs: Infinity };
  t.is(forecast(unknown).firstMs, 0);
  const { nextFreeMs } = forecast({ ...unknown, load: 24 });
  t.is(nextFreeMs, upstreamForecastRules.unknownServiceMs / 24);
});

test('free slots count by the square of their number and by the pace at which they serve', (t) => {
  t.deepEqual(shares([candidate(), candidate({ freePlaces: 30 })]), [0.1, 0.9]);
  t.deepEqual(shares([candidate({ pace: 1.5 }), candidate({ pace: 0.5 })]), [0.25, 0.75]);
  t.deepEqual(shares([candidate({ isOwnZone: true }), candidate()]), [0.67, 0.33]);
});

test('candidates that keep the target latency come before those that process prompts, are late or full', (t) => {
  const prefilling = candidate({ isPrefilling: true });
  const late = candidate({ firstMs: 400 });
  const full = candidate({ freePlaces: 0, nextFreeMs: 100, firstMs: 180 });
  t.deepEqual(shares([full, late, prefilling, candidate()]), [0, 0, 0, 1]);
  t.deepEqual(shares([full, late, prefilling]), [0, 0, 1]);
  t.deepEqual(shares([full, late]), [0, 1]);
});

test('an upstream that fails often gets a request before full ones and after all others', (t) => {
  const failing = candidate({ freePlaces: 0 });
  const full = candidate({ freePlaces: 0, nextFreeMs: 100, firstMs: 20 });
  t.deepEqual(shares([failing, full]), [1, 0]);
  t.deepEqual(shares([failing, candidate({ freePlaces: 1 })]), [0, 1]);
});

test('an avoided upstream is chosen only if all are avoided', (t) => {
  const avoided = candidate({ risk: 1, firstMs: 20 });
  const full = candidate({ freePlaces: 0, nextFreeMs: 100 });
  t.deepEqual(shares([avoided, full]), [0, 1]);
  t.deepEqual(shares([avoided, candidate({ risk: 1 }), candidate({ risk: 3 })]), [1, 0, 0]);
  t.is(choosePlace({ candidates: [], count: 0, targetMs: 0 }, 0), undefined);
});

test('without free slots the soonest is preferred, but not chosen by all entries at once', (t) => {
  const full = { freePlaces: 0, nextFreeMs: 50 };
  const [soon, later] = [
    candidate({ ...full, firstMs: 100 }),
    candidate({ ...full, firstMs: 200 }),
  ];
  t.deepEqual(shares([soon, later]), [0.8, 0.2]);
});
