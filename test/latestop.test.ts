import test from 'ava';
import fc from 'fast-check';
import { execFile } from 'node:child_process';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { fitsStop, recordAnswer, type AnswerTimes } from '../src/core/plannedstop/index.js';
import { PlatformServer } from '../standin/platform/index.js';
import { callEntry } from './support/callentry.js';
import { PlatformRig } from './support/platformrig.js';
import { RunRig } from './support/runrig.js';

const SCRIPT = join(import.meta.dirname, '..', 'bench', 'soak', 'stoplate.js');
const BOUND = { ratio: 1, slack: 10, windowMs: 1000 };
/** Not longer than the window in which answers are remembered. */
const REMEMBERED_MS = 30_000;

const durations = fc.integer({ min: 0, max: 60_000 });
const samples = fc.array(fc.record({ gapMs: durations, tookMs: durations }), { maxLength: 40 });

function record(list: readonly { gapMs: number; tookMs: number }[]) {
  let times: AnswerTimes | undefined;
  let nowMs = 0;
  const seen = list.map(({ gapMs, tookMs }) => {
    nowMs += gapMs;
    times = recordAnswer(times, tookMs, nowMs);
    return { atMs: nowMs, tookMs };
  });
  return { times, seen, nowMs };
}

// Guards against requests that are sent although answers of their kind do not fit into what is left of a stop.
test('a request is not sent late in a stop if a recent answer of its kind would not fit', (t) => {
  const left = fc.integer({ min: -10, max: 60_000 });
  const property = fc.property(
    samples,
    left,
    durations,
    fc.boolean(),
    (list, leftMs, remainingMs, isRepeatable) => {
      const { times, seen, nowMs } = record(list);
      const fits = fitsStop({ times, remainingMs, leftMs, isRepeatable });
      const recent = seen.filter(({ atMs }) => nowMs - atMs < REMEMBERED_MS);
      const isTooLong = recent.some(({ tookMs }) => tookMs >= leftMs);
      if (leftMs <= 0) return !fits;
      if (remainingMs <= leftMs) return fits;
      if (isTooLong && fits) return false;
      if (list.length === 0) return fits === isRepeatable;
      // What no answer ever exceeded is not refused.
      return fits || seen.some(({ tookMs }) => tookMs >= leftMs);
    },
  );
  fc.assert(property, { numRuns: 2000 });
  t.pass();
});

test('a request that fits into what is left of a stop fits into more as well', (t) => {
  const property = fc.property(
    samples,
    durations,
    durations,
    durations,
    (list, leftMs, moreMs, remainingMs) => {
      const late = { times: record(list).times, remainingMs, isRepeatable: false };
      return !fitsStop({ ...late, leftMs }) || fitsStop({ ...late, leftMs: leftMs + moreMs });
    },
  );
  fc.assert(property, { numRuns: 2000 });
  t.pass();
});

// Guards against a request that is chosen before the border and sent behind it, when its connection has opened.
test('a request whose connection opens too late in a stop is refused as not run', async (t) => {
  const rig = new RunRig(BOUND);
  rig.add('u1');
  rig.openMs = 500;
  rig.stop = { sendsUntilMs: 300, endsAtMs: 1000 };
  await rig.ask(1);
  t.deepEqual(rig.arrivals, []);
  t.deepEqual(rig.statuses, [503]);
});

// Guards against timers of waiting requests that run, after a stall, before the one that begins the next phase.
test('a request that has waited for its model is not sent if its answer would come too late', async (t) => {
  const rig = new RunRig(BOUND);
  rig.stop = { sendsUntilMs: 750, endsAtMs: 940 };
  rig.answerTimes = recordAnswer(undefined, 400, 0);
  await rig.ask(1);
  rig.add('u1');
  await rig.pass(600);
  await rig.setLoaded();
  await rig.pass(10);
  t.deepEqual(rig.arrivals, []);
  t.deepEqual(rig.statuses, [503]);
});

test('a waiting request is refused as soon as its answer would come too late', async (t) => {
  const rig = new RunRig(BOUND);
  rig.stop = { sendsUntilMs: 750, endsAtMs: 940 };
  rig.answerTimes = recordAnswer(undefined, 400, 0);
  await rig.ask(1);
  rig.refuseLate();
  t.deepEqual(rig.statuses, []);
  await rig.pass(600);
  rig.refuseLate();
  t.deepEqual(rig.statuses, [503]);
});

// Guards against requests that are passed on late in a stop and cut at its end: 5 of 18 that were taken.
test('a stop cuts no request that it took and that may not be repeated', async (t) => {
  const { stdout } = await promisify(execFile)(process.execPath, [SCRIPT]);
  const { ends, lost } = JSON.parse(stdout) as { ends: Record<string, number>; lost: number };
  t.is(lost, 0, stdout);
  t.true(ends['200']! > 0, stdout);
  t.deepEqual(
    Object.keys(ends).filter((end) => !['200', '503 stopping no', 'not taken'].includes(end)),
    [],
    stdout,
  );
});

// Guards against a stop that gives up answers which arrived while its process got no processor.
test.serial(
  'an answer that lies unread when a stop ends its request reaches the caller',
  async (t) => {
    const server = new PlatformServer('p1', 'plain');
    const rig = new PlatformRig();
    await rig.start([server]);
    t.teardown(() => rig.close());
    const call = { method: 'POST', path: '/charge/1', body: 'x' };
    const { status: before } = await callEntry(rig.port, call);
    t.is(before, 200);
    // The server has written its answer once this is called.
    server.behaviors.shift = () => {
      setImmediate(() => rig.entry.endAll());
      return 'serve';
    };
    const { status } = await callEntry(rig.port, call);
    t.is(status, 200);
  },
);

test('a request that a stop ends before it was sent is told to come back at once', async (t) => {
  const rig = new RunRig(BOUND);
  rig.add('u1');
  rig.openMs = 500;
  rig.start();
  rig.endNow();
  await new Promise(setImmediate);
  await new Promise(setImmediate);
  await new Promise(setImmediate);
  t.deepEqual(rig.statuses, [503]);
  t.deepEqual(rig.retryAfterMs, [20]);
});

// Guards against a request that waits to the end of a stop although it is sure to be refused.
test('a request that waits for its quota is refused once a stop sends no more requests', async (t) => {
  const rig = new PlatformRig();
  rig.customers = [{ name: 'large', keys: ['key-of-large'], rate: 10, burst: 10 }];
  await rig.start([new PlatformServer('p1', 'plain')]);
  t.teardown(() => rig.close());
  Object.assign(rig.entry.quota, { take: () => undefined, ask: () => new Promise(() => {}) });
  const headers = { Authorization: 'Bearer key-of-large' };
  const asked = callEntry(rig.port, { method: 'POST', path: '/charge/1', headers, body: 'x' });
  await rig.until(() => rig.entry.inFlight === 1);
  rig.entry.stopWaiting();
  t.is(rig.entry.inFlight, 0);
  rig.entry.endAll();
  const { status, head, body } = await asked;
  t.is(status, 503);
  t.regex(head, /retry-after: 0\.020/i);
  t.regex(body, /stopping/);
});
