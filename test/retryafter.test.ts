import test from 'ava';
import { spreadRetryAfterMs } from '../src/core/retryafter/index.js';
import { holdOrRefuse } from '../src/core/residencywait/index.js';

const REMAINING_MS = 15_000;
const POSITIONS = Array.from({ length: 20 }, (_, at) => at / 20);

test('retry-after times of a full engine are spread, and none exceeds what callers accept', (t) => {
  const times = POSITIONS.map((place) => spreadRetryAfterMs(REMAINING_MS, place));
  t.is(new Set(times).size, POSITIONS.length);
  t.true(Math.min(...times) >= REMAINING_MS * 0.2);
  t.true(Math.max(...times) <= REMAINING_MS / 3);
  t.is(spreadRetryAfterMs(-5, 0.5), 0);
});

test('a request is held only if a load of its model is in progress and finishes soon', (t) => {
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

test('a request is not held for most of its remaining time', (t) => {
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

test('retry-after times lie after the expected end of the load, and are spread', (t) => {
  const times = POSITIONS.map((place) => {
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

// Guards against streams that are refused with most of their deadline left, and against ones that are held to its end.
test('a request that continues a stream is held for a later load, with time left for the rest of the stream', (t) => {
  const wait = {
    inMs: 4200,
    isUnderWay: false,
    heldMs: 0,
    remainingMs: REMAINING_MS,
    targetMs: 250,
    isContinued: true,
    place: 0,
  };
  t.is(holdOrRefuse(wait).type, 'hold');
  const late = { ...wait, heldMs: 11_000, remainingMs: REMAINING_MS - 11_000 };
  t.is(holdOrRefuse(late).type, 'refuse');
  t.is(holdOrRefuse({ ...wait, isContinued: false }).type, 'refuse');
});

// Guards against streams that an entry without a connection to others holds, though another entry could serve them.
test('a stream is held for seconds only while nobody plans a load for it', (t) => {
  const wait = {
    inMs: 900,
    isUnderWay: false,
    heldMs: 0,
    remainingMs: REMAINING_MS,
    targetMs: 250,
    isContinued: true,
    place: 0,
  };
  t.is(holdOrRefuse({ ...wait, unplannedMs: 3000 }).type, 'hold');
  t.is(holdOrRefuse({ ...wait, unplannedMs: 4000 }).type, 'refuse');
});
