import test from 'ava';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { ReturnDetector } from '../src/direct/returndetector.js';

const NOMINAL_MS = 15_000;

interface Counts {
  first: number;
  wrong: number;
  back: number;
  found: number;
}

/** Classifies callers whose deadlines differ by `spread`; one in ten was refused and returns after `waitedMs`. */
function count(spread: number, waitedMs: number, seed: number): Counts {
  const random = xoroshiro128plus(seed);
  const returns = new ReturnDetector();
  const counts: Counts = { first: 0, wrong: 0, back: 0, found: 0 };
  for (let at = 0; at < 1000; at += 1) {
    const ownMs = NOMINAL_MS * (1 - spread * uniformFloat64(random));
    const isBack = uniformFloat64(random) < 0.1;
    const said = returns.isReturn('r', isBack ? ownMs - waitedMs : ownMs);
    counts[isBack ? 'back' : 'first'] += 1;
    if (said) counts[isBack ? 'found' : 'wrong'] += 1;
  }
  return counts;
}

test('few first tries are classified as returns, however much the deadlines of callers differ', (t) => {
  for (const spread of [0, 0.01, 0.15, 0.3, 0.6]) {
    for (let seed = 1; seed <= 5; seed += 1) {
      const { first, wrong } = count(spread, 1000, seed);
      t.true(wrong <= first * 0.1, `spread ${spread}: ${wrong} of ${first}`);
    }
  }
});

test('callers that have lost much of their time are classified as returning', (t) => {
  for (const spread of [0, 0.15]) {
    const { back, found } = count(spread, 5000, 1);
    t.true(found >= back * 0.85, `spread ${spread}: ${found} of ${back}`);
  }
});

test('if all callers have the same deadline, returns after a short wait are detected as well', (t) => {
  const { back, found } = count(0, 800, 2);
  t.true(found >= back * 0.85, `${found} of ${back}`);
});
