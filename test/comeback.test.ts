import test from 'ava';
import { comeBackMs } from '../src/core/comeback/index.js';
import { holdOrRefuse } from '../src/core/residencywait/index.js';

const REMAINING_MS = 15_000;
const PLACES = Array.from({ length: 20 }, (_, at) => at / 20);

test('callers of a full engine are spread, and none is told a time that it would not heed', (t) => {
  const times = PLACES.map((place) => comeBackMs(REMAINING_MS, place));
  t.is(new Set(times).size, PLACES.length);
  t.true(Math.min(...times) >= REMAINING_MS * 0.2);
  t.true(Math.max(...times) <= REMAINING_MS / 3);
  t.is(comeBackMs(-5, 0.5), 0);
});

test('what nobody is bringing is refused at once; what is under way and soon there is held', (t) => {
  const wait = {
    inMs: 900,
    isUnderWay: true,
    heldMs: 0,
    remainingMs: REMAINING_MS,
    targetMs: 250,
    place: 0,
  };
  t.is(holdOrRefuse(wait).type, 'hold');
  t.is(holdOrRefuse({ ...wait, isUnderWay: false }).type, 'refuse');
  t.is(holdOrRefuse({ ...wait, inMs: 4200 }).type, 'refuse');
  t.is(holdOrRefuse({ ...wait, heldMs: 700 }).type, 'refuse');
});

test('a caller with little time is not held for most of it', (t) => {
  const wait = {
    inMs: 900,
    isUnderWay: true,
    heldMs: 0,
    remainingMs: 1500,
    targetMs: 250,
    place: 0,
  };
  t.is(holdOrRefuse(wait).type, 'refuse');
});

test('nobody is told to come back before the load should be there, and not all at once', (t) => {
  const times = PLACES.map((place) => {
    const wait = {
      inMs: 4200,
      isUnderWay: true,
      heldMs: 0,
      remainingMs: REMAINING_MS,
      targetMs: 250,
      place,
    };
    const decision = holdOrRefuse(wait);
    return decision.type === 'refuse' ? decision.retryAfterMs : 0;
  });
  t.true(Math.min(...times) >= 4200);
  t.true(Math.max(...times) - Math.min(...times) > 500);
});
