import test from 'ava';
import { execFile } from 'node:child_process';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { VirtualClock } from '../src/base/index.js';
import { stopPhase } from '../src/core/plannedstop/index.js';
import { plannedStop } from '../src/direct/index.js';

const SCRIPT = join(import.meta.dirname, '..', 'bench', 'soak', 'stopwaiting.js');
const GRACE_MS = 8000;

interface Ended {
  readonly atMs: number;
  readonly unwritten: number;
  readonly actions: readonly string[];
}

/** Stops an entry in virtual time; `left` returns the number of unwritten answers, given the time and past actions. */
async function stop(
  left: (nowMs: number, actions: readonly string[]) => number,
  requestedBeforeMs = 0,
): Promise<Ended> {
  const clock = new VirtualClock();
  clock.advanceTo(requestedBeforeMs);
  const actions: string[] = [];
  const act = (name: string) => () => {
    actions.push(name);
  };
  const entry = {
    get inFlight() {
      return left(clock.nowMs(), actions);
    },
    retire: act('retire'),
    release: () => Promise.resolve(),
    stopWaiting: act('refuse'),
    endAll: act('end'),
  };
  const server = {
    leave: act('leave'),
    shut: act('shut'),
    closeListener: act('close listener'),
    get isListening() {
      return !actions.includes('shut');
    },
    get unwritten() {
      return left(clock.nowMs(), actions);
    },
    closing: 0,
    refuseArrived: () => {
      actions.push('refuse arrived');
      return Promise.resolve();
    },
    connections: () => Promise.resolve(left(clock.nowMs(), actions)),
  };
  const log = { info() {}, warn() {}, error() {} };
  let isOver = false;
  const options = {
    entry: entry as never,
    server,
    graceMs: GRACE_MS,
    requestedAtMs: 0,
    clock,
    log,
  };
  void plannedStop(options).then(() => {
    isOver = true;
  });
  while (!isOver) {
    for (let round = 0; round < 20; round += 1) await Promise.resolve();
    if (!isOver) clock.advanceTo(clock.nowMs() + 5);
  }
  return { atMs: clock.nowMs(), unwritten: left(clock.nowMs(), actions), actions };
}

test('a stop without requests in flight keeps listening for the load balancer and then ends', async (t) => {
  const ended = await stop(() => 0);
  t.true(ended.atMs >= 3000 && ended.atMs < 3200);
  t.deepEqual(ended.actions, ['retire', 'leave', 'shut']);
});

test('waiting requests are refused before the grace period ends, and the process exits after that', async (t) => {
  const ended = await stop((_, actions) => (actions.includes('refuse') ? 0 : 2));
  t.is(ended.unwritten, 0);
  t.true(ended.atMs < GRACE_MS);
});

test('requests still at an upstream get a final answer, and the process waits until it is written', async (t) => {
  let endedAtMs = Infinity;
  const ended = await stop((nowMs, actions) => {
    if (actions.includes('end')) endedAtMs = Math.min(endedAtMs, nowMs);
    return nowMs - endedAtMs > 100 ? 0 : 3;
  });
  t.is(ended.unwritten, 0);
  t.true(ended.atMs > endedAtMs + 100 && ended.atMs < GRACE_MS);
});

test('a process that cannot write its answers exits before it would be killed', async (t) => {
  const ended = await stop(() => 1);
  t.true(ended.atMs < GRACE_MS);
  t.deepEqual(ended.actions, [
    'retire',
    'leave',
    'shut',
    'refuse',
    'close listener',
    'end',
    'refuse arrived',
  ]);
});

// Guards against a stop that is killed in its middle, because it was requested seconds before, during the start.
test('the grace period counts from the signal, also if the process could stop only later', async (t) => {
  const ended = await stop(() => 1, GRACE_MS / 2);
  t.true(ended.atMs < GRACE_MS);
  t.deepEqual(ended.actions.slice(-3), ['close listener', 'end', 'refuse arrived']);
});

test('phases keep their order for short grace periods as well', (t) => {
  for (const graceMs of [1000, 2000, 4000, 8000, 30_000]) {
    const phases = new Set<string>();
    for (let tookMs = 0; tookMs <= graceMs; tookMs += 1) phases.add(stopPhase(tookMs, graceMs));
    t.deepEqual([...phases], ['listening', 'finishing', 'refusing', 'ending', 'over']);
  }
});

test('a request that a stopping process accepted gets an answer, whatever it waits for', async (t) => {
  const { stdout } = await promisify(execFile)(process.execPath, [SCRIPT]);
  const { model, silent, stream } = JSON.parse(stdout) as Record<string, Record<string, number>>;
  t.true(model!['503']! > 0, stdout);
  t.deepEqual(
    Object.keys(model!).filter((end) => end !== '503' && end !== 'not taken'),
    [],
    stdout,
  );
  t.deepEqual(silent, { 504: 1 });
  t.deepEqual(stream, { '200 broken off': 1 });
});
