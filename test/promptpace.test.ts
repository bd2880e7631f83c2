import test from 'ava';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { unloadedTimeMs, isPrefilling, promptPaceRules } from '../src/core/promptpace/index.js';
import { BatchEngine } from './support/batchengine.js';

const GAP_TARGET_MS = 300;
const FIRST_MS = 800;
const RUN_MS = 30_000;
const ENTRIES = 4;
const PROMPT_TOKENS = 1110;
const OUTPUT_TOKENS = 171;

/** Simulates one engine that several entries send to without knowing of each other's requests. */
function simulate(isPaced: boolean, perSecond: number, seed: number) {
  const random = xoroshiro128plus(seed);
  const entries = Array.from({ length: ENTRIES }, () => ({
    prefillCount: 0,
    streamCount: 0,
    eventAtMs: -Infinity,
    unloadedGapMs: Infinity,
    unloadedFirstEventMs: Infinity,
    waiting: [] as number[],
  }));
  const engine: BatchEngine = new BatchEngine((stream, gapMs) => {
    const entry = entries[stream.entry]!;
    if (gapMs > 0) entry.unloadedGapMs = unloadedTimeMs(entry.unloadedGapMs, gapMs);
    if (stream.firstEventAtMs === engine.nowMs && stream.longestGapMs === 0) {
      entry.prefillCount -= 1;
      entry.streamCount += 1;
      entry.unloadedFirstEventMs = unloadedTimeMs(
        entry.unloadedFirstEventMs,
        engine.nowMs - stream.sentAtMs,
      );
    }
    entry.eventAtMs = engine.nowMs;
    if (stream.tokensLeft === 0) entry.streamCount -= 1;
  });
  let nextAtMs = 0;
  while (engine.nowMs < RUN_MS) {
    while (nextAtMs < engine.nowMs) {
      entries[Math.floor(uniformFloat64(random) * ENTRIES)]!.waiting.push(nextAtMs);
      nextAtMs += (-Math.log(1 - uniformFloat64(random)) * 1000) / perSecond;
    }
    for (const [at, entry] of entries.entries()) {
      while (entry.waiting.length > 0) {
        const heldMs = engine.nowMs - entry.waiting[0]!;
        const mayWait = isPaced && heldMs < FIRST_MS * promptPaceRules.holdShare;
        if (mayWait && isPrefilling(entry, GAP_TARGET_MS, engine.nowMs)) break;
        engine.take(PROMPT_TOKENS, OUTPUT_TOKENS, entry.waiting.shift(), at);
        entry.prefillCount += 1;
      }
    }
    engine.step();
  }
  const inTime = engine.ended.filter(
    ({ arrivedAtMs, firstEventAtMs, longestGapMs }) =>
      firstEventAtMs! - arrivedAtMs <= FIRST_MS && longestGapMs <= GAP_TARGET_MS,
  ).length;
  return { inTime, late: engine.ended.length - inTime };
}

test('bursts of prompts make fewer streams late if entries pace them', (t) => {
  for (const perSecond of [7, 8]) {
    let paced = 0;
    let unpaced = 0;
    for (let seed = 1; seed <= 6; seed += 1) {
      paced += simulate(true, perSecond, seed).late;
      unpaced += simulate(false, perSecond, seed).late;
    }
    t.log({ perSecond, paced, unpaced });
    t.true(paced < unpaced * 0.7, `${perSecond}/s: ${paced} late with a pace, ${unpaced} without`);
  }
});

const IDLE = {
  prefillCount: 0,
  streamCount: 0,
  eventAtMs: -Infinity,
  unloadedGapMs: 30,
  unloadedFirstEventMs: 80,
};

test('an idle engine gets the next prompt at once, and another only after its prefill', (t) => {
  t.false(isPrefilling(IDLE, GAP_TARGET_MS, 1000));
  t.true(isPrefilling({ ...IDLE, prefillCount: 1 }, GAP_TARGET_MS, 1000));
});

test('an engine with a short prefill gets several prompts at a time', (t) => {
  const fast = { ...IDLE, unloadedFirstEventMs: 25 };
  t.false(isPrefilling({ ...fast, prefillCount: 2 }, GAP_TARGET_MS, 1000));
  t.true(isPrefilling({ ...fast, prefillCount: 3 }, GAP_TARGET_MS, 1000));
});

test('stalled streams reveal prefills of other entries; streams with rare events do not', (t) => {
  const running = { ...IDLE, streamCount: 3, eventAtMs: 1000 };
  t.false(isPrefilling(running, GAP_TARGET_MS, 1050));
  t.true(isPrefilling(running, GAP_TARGET_MS, 1080));
  t.false(isPrefilling({ ...running, unloadedGapMs: 60 }, GAP_TARGET_MS, 1080));
});
