import test from 'ava';
import {
  averagePaceAt,
  initialPace,
  onSharedPercent,
  onWorkPercent,
  paceAt,
} from '../src/core/hostpace/index.js';

const HALF_LIFE_MS = 150;

/** The pace of an upstream that reported 100 for 30 s and then, once, `percent` at 30 s. */
function afterUsual(percent: number) {
  let pace = initialPace();
  for (let atMs = 0; atMs < 30_000; atMs += 100) pace = onWorkPercent(pace, 100, atMs);
  return onWorkPercent(pace, percent, 30_000);
}

test('an upstream that has reported nothing has the usual pace', (t) => {
  t.is(paceAt(initialPace(), 0), 1);
  t.is(averagePaceAt(initialPace(), 0), 1);
});

// Guards against a slowdown that lasts a few hundred ms being taken for the pace of an upstream long afterwards.
test('an old report decays to the learned average', (t) => {
  const pace = afterUsual(250);
  t.is(paceAt(pace, 30_000), 2.5);
  t.true(Math.abs(paceAt(pace, 30_000 + HALF_LIFE_MS) - 1.77) < 0.02);
  t.true(paceAt(pace, 31_500) < 1.06);
  t.true(averagePaceAt(pace, 30_000) < 1.06);
});

test('a pace that lasts is learned within several seconds', (t) => {
  let pace = afterUsual(160);
  for (let atMs = 30_100; atMs <= 39_000; atMs += 100) pace = onWorkPercent(pace, 160, atMs);
  t.true(averagePaceAt(pace, 39_000) > 1.55);
});

// Guards against an unreadable figure that makes an upstream look a hundred times faster or slower.
test('an absurd figure changes nothing', (t) => {
  const pace = afterUsual(100);
  for (const percent of [NaN, -100, 0, 9, 1001, Infinity]) {
    t.is(onWorkPercent(pace, percent, 31_000), pace);
    t.is(onSharedPercent(pace, percent, 31_000), pace);
  }
});

test('an entry that has no report of its own uses the average of the others', (t) => {
  const pace = onSharedPercent(initialPace(), 160, 1000);
  t.is(paceAt(pace, 1000), 1.6);
  t.is(paceAt(pace, 60_000), 1.6);
});

// Guards against an entry that is cut off from the holder keeping an average that its own reports contradict.
test('an old average of the others gives way to the own one', (t) => {
  let pace = onSharedPercent(afterUsual(100), 160, 30_000);
  t.is(averagePaceAt(pace, 30_000), 1.6);
  t.true(averagePaceAt(pace, 42_000) < 1.02);
  pace = onWorkPercent(pace, 100, 30_100);
  t.true(averagePaceAt(pace, 30_100) > 1.5);
});

// Guards against entries that report each other's figures back as their own.
test('the average of the others is not mixed into the own one', (t) => {
  const pace = onSharedPercent(afterUsual(100), 160, 30_000);
  t.is(onWorkPercent(pace, 100, 30_100).average, 1);
});
