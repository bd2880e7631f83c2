import test from 'ava';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { initialLimit, engineLimitRules, maxFill, onGap } from '../src/core/enginelimit/index.js';
import { BatchEngine } from './support/batchengine.js';

const TARGET_MS = 300;
const FIRST_MS = 800;
const RUN_MS = 20_000;

test('a gap near the target cuts the limit once for a burst, after which the limit rises again', (t) => {
  const first = onGap(initialLimit(), { gapMs: 250, targetMs: TARGET_MS, fill: 1 }, 1000);
  t.is(first.fill, engineLimitRules.cutFactor);
  const same = onGap(first, { gapMs: 400, targetMs: TARGET_MS, fill: 1 }, 1400);
  t.is(same, first);
  t.is(maxFill(first, 1000), engineLimitRules.cutFactor);
  t.true(maxFill(first, 3000) > engineLimitRules.cutFactor);
  t.is(maxFill(first, 60_000), engineLimitRules.maxFill);
});

test('short gaps do not change the limit, and it never falls below its minimum', (t) => {
  const calm = onGap(initialLimit(), { gapMs: 200, targetMs: TARGET_MS, fill: 1 }, 1000);
  t.is(maxFill(calm, 1000), engineLimitRules.maxFill);
  let state = initialLimit();
  for (let nowMs = 0; nowMs < 9000; nowMs += 600) {
    state = onGap(state, { gapMs: 900, targetMs: TARGET_MS, fill: 0.2 }, nowMs);
  }
  t.is(state.fill, engineLimitRules.minFill);
});

/** Simulates an engine under Poisson arrivals, with or without the limit; counts answers on time and refusals. */
function simulate(isLimited: boolean, perSecond: number, seed: number) {
  const random = xoroshiro128plus(seed);
  let limit = initialLimit();
  const engine: BatchEngine = new BatchEngine((_, gapMs) => {
    limit = onGap(limit, { gapMs, targetMs: TARGET_MS, fill: engine.fill }, engine.nowMs);
  });
  let refused = 0;
  let nextAtMs = 0;
  while (engine.nowMs < RUN_MS) {
    while (nextAtMs < engine.nowMs) {
      nextAtMs += (-Math.log(1 - uniformFloat64(random)) * 1000) / perSecond;
      if (isLimited && engine.fill > maxFill(limit, engine.nowMs)) refused += 1;
      else engine.take(1110, 171);
    }
    engine.step();
  }
  const inTime = engine.ended.filter(
    ({ arrivedAtMs, firstEventAtMs, longestGapMs }) =>
      firstEventAtMs! - arrivedAtMs <= FIRST_MS && longestGapMs <= TARGET_MS,
  ).length;
  return { inTime, refused };
}

test('an overloaded engine answers more requests on time with a limit than without', (t) => {
  for (const perSecond of [16, 20, 30]) {
    let limited = 0;
    let unlimited = 0;
    for (let seed = 1; seed <= 4; seed += 1) {
      limited += simulate(true, perSecond, seed).inTime;
      unlimited += simulate(false, perSecond, seed).inTime;
    }
    t.log({ perSecond, limited, unlimited });
    t.true(
      limited > unlimited * 1.5,
      `${perSecond}/s: ${limited} in time with a limit, ${unlimited} without`,
    );
  }
});

test('an engine that is not overloaded refuses no request', (t) => {
  for (let seed = 1; seed <= 4; seed += 1) t.is(simulate(true, 6, seed).refused, 0);
});
