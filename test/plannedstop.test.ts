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
  readonly did: readonly string[];
}

/** Stops in virtual time an entry whose answers are written as `left` says, given when refused and ended. */
async function stop(left: (nowMs: number, did: readonly string[]) => number): Promise<Ended> {
  const clock = new VirtualClock();
  const did: string[] = [];
  const act = (name: string) => () => {
    did.push(name);
  };
  const entry = {
    get inFlight() {
      return left(clock.nowMs(), did);
    },
    retire: act('retire'),
    release: () => Promise.resolve(),
    stopWaiting: act('refuse'),
    endAll: act('end'),
  };
  const door = {
    leave: act('leave'),
    shut: act('shut'),
    get isListening() {
      return !did.includes('shut');
    },
    get unwritten() {
      return left(clock.nowMs(), did);
    },
    connections: () => Promise.resolve(left(clock.nowMs(), did)),
  };
  const log = { info() {}, warn() {}, error() {} };
  let isOver = false;
  const options = { entry: entry as never, door, graceMs: GRACE_MS, clock, log };
  void plannedStop(options).then(() => {
    isOver = true;
  });
  while (!isOver) {
    for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
    if (!isOver) clock.advanceTo(clock.nowMs() + 5);
  }
  return { atMs: clock.nowMs(), unwritten: left(clock.nowMs(), did), did };
}

test('a stop with nothing to do listens on for the balancer and ends', async (t) => {
  const ended = await stop(() => 0);
  t.true(ended.atMs >= 3000 && ended.atMs < 3200);
  t.deepEqual(ended.did, ['retire', 'leave', 'shut']);
});

test('what waits is refused before the end of the grace, and the process ends when that is written', async (t) => {
  const ended = await stop((_, did) => (did.includes('refuse') ? 0 : 2));
  t.is(ended.unwritten, 0);
  t.true(ended.atMs < GRACE_MS);
});

test('what an upstream still works on gets its final answer, and that is waited for', async (t) => {
  let endedAtMs = Infinity;
  const ended = await stop((nowMs, did) => {
    if (did.includes('end')) endedAtMs = Math.min(endedAtMs, nowMs);
    return nowMs - endedAtMs > 100 ? 0 : 3;
  });
  t.is(ended.unwritten, 0);
  t.true(ended.atMs > endedAtMs + 100 && ended.atMs < GRACE_MS);
});

test('a process that cannot write its answers ends before it would be killed', async (t) => {
  const ended = await stop(() => 1);
  t.true(ended.atMs < GRACE_MS);
  t.deepEqual(ended.did, ['retire', 'leave', 'shut', 'refuse', 'end']);
});

test('phases come in their order for short graces as well', (t) => {
  for (const graceMs of [1000, 2000, 4000, 8000, 30_000]) {
    const phases = new Set<string>();
    for (let tookMs = 0; tookMs <= graceMs; tookMs += 1) phases.add(stopPhase(tookMs, graceMs));
    t.deepEqual([...phases], ['listening', 'finishing', 'refusing', 'ending', 'over']);
  }
});

test('a request that a stopping process took gets an answer, whatever it waits for', async (t) => {
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
