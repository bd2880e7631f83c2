import test from 'ava';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { calmTime, isReading, paceRules } from '../src/core/promptpace/index.js';
import { BatchEngine } from './support/batchengine.js';

const GAP_TARGET_MS = 300;
const FIRST_MS = 800;
const DAY_MS = 30_000;
const ENTRIES = 4;
const PROMPT_TOKENS = 1110;
const OUTPUT_TOKENS = 171;

/** What callers get of one engine that several entries send to, each blind to the others. */
function play(isPaced: boolean, perSecond: number, seed: number) {
  const random = xoroshiro128plus(seed);
  const seen = Array.from({ length: ENTRIES }, () => ({
    readingCount: 0,
    streamCount: 0,
    eventAtMs: -Infinity,
    calmGapMs: Infinity,
    calmFirstMs: Infinity,
    waiting: [] as number[],
  }));
  const engine: BatchEngine = new BatchEngine((stream, gapMs) => {
    const entry = seen[stream.entry]!;
    if (gapMs > 0) entry.calmGapMs = calmTime(entry.calmGapMs, gapMs);
    if (stream.firstEventAtMs === engine.nowMs && stream.longestGapMs === 0) {
      entry.readingCount -= 1;
      entry.streamCount += 1;
      entry.calmFirstMs = calmTime(entry.calmFirstMs, engine.nowMs - stream.sentAtMs);
    }
    entry.eventAtMs = engine.nowMs;
    if (stream.tokensLeft === 0) entry.streamCount -= 1;
  });
  let nextAtMs = 0;
  while (engine.nowMs < DAY_MS) {
    while (nextAtMs < engine.nowMs) {
      seen[Math.floor(uniformFloat64(random) * ENTRIES)]!.waiting.push(nextAtMs);
      nextAtMs += (-Math.log(1 - uniformFloat64(random)) * 1000) / perSecond;
    }
    for (const [at, entry] of seen.entries()) {
      while (entry.waiting.length > 0) {
        const heldMs = engine.nowMs - entry.waiting[0]!;
        const mayWait = isPaced && heldMs < FIRST_MS * paceRules.holdShare;
        if (mayWait && isReading(entry, GAP_TARGET_MS, engine.nowMs)) break;
        engine.take(PROMPT_TOKENS, OUTPUT_TOKENS, entry.waiting.shift(), at);
        entry.readingCount += 1;
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

test('prompts that come in bursts make fewer streams late if each entry lets one be read at a time', (t) => {
  for (const perSecond of [7, 8]) {
    let paced = 0;
    let free = 0;
    for (let seed = 1; seed <= 6; seed += 1) {
      paced += play(true, perSecond, seed).late;
      free += play(false, perSecond, seed).late;
    }
    t.log({ perSecond, paced, free });
    t.true(paced < free * 0.7, `${perSecond}/s: ${paced} late with a pace, ${free} without`);
  }
});

const IDLE = {
  readingCount: 0,
  streamCount: 0,
  eventAtMs: -Infinity,
  calmGapMs: 30,
  calmFirstMs: 80,
};

test('an engine that nothing runs at takes the next prompt at once, and another only when that is read', (t) => {
  t.false(isReading(IDLE, GAP_TARGET_MS, 1000));
  t.true(isReading({ ...IDLE, readingCount: 1 }, GAP_TARGET_MS, 1000));
});

test('an engine that reads several prompts in the time of a pause takes as many at a time', (t) => {
  const fast = { ...IDLE, calmFirstMs: 25 };
  t.false(isReading({ ...fast, readingCount: 2 }, GAP_TARGET_MS, 1000));
  t.true(isReading({ ...fast, readingCount: 3 }, GAP_TARGET_MS, 1000));
});

test('streams that stand still tell of prompts of other entries, those with rare events do not', (t) => {
  const running = { ...IDLE, streamCount: 3, eventAtMs: 1000 };
  t.false(isReading(running, GAP_TARGET_MS, 1050));
  t.true(isReading(running, GAP_TARGET_MS, 1080));
  t.false(isReading({ ...running, calmGapMs: 60 }, GAP_TARGET_MS, 1080));
});
