import test from 'ava';
import type { Socket } from 'node:net';
import { VirtualClock } from '../src/base/index.js';
import { initialOverload, overloadRules, stepOverload } from '../src/core/overload/index.js';
import { AcceptGate } from '../src/shell/accept/index.js';

interface Load {
  readonly perS: number;
  readonly forMs: number;
  /** Work of a turn of the event loop that accepts a connection, and of one that closes it. */
  readonly acceptMs: number;
  readonly closeMs: number;
  /** Work of a turn that refuses a request; absent if connections are closed. */
  readonly refuseMs?: number;
  /** Pauses of the process, each with its beginning. */
  readonly pauses?: readonly { readonly atMs: number; readonly forMs: number }[];
}

interface Outcome {
  /** Time that each accepted connection has waited in the queue, in order. */
  readonly waitsMs: readonly number[];
  readonly acceptedAtMs: readonly number[];
  readonly closedCount: number;
}

const POLL_MS = 0.1;

/** Plays a process that takes one connection out of its accept queue in each turn. */
function play({ perS, forMs, acceptMs, closeMs, refuseMs, pauses = [] }: Load): Outcome {
  const workMs = { accept: acceptMs, refuse: refuseMs ?? 0, close: closeMs };
  const mayClose = refuseMs === undefined;
  const gapMs = 1000 / perS;
  const waitsMs: number[] = [];
  const acceptedAtMs: number[] = [];
  let state = initialOverload();
  let closedCount = 0;
  let arrivesAtMs = 0;
  let pauseCount = 0;
  for (let nowMs = 0; nowMs < forMs;) {
    const pause = pauses[pauseCount];
    if (pause && nowMs >= pause.atMs) {
      nowMs += pause.forMs;
      pauseCount += 1;
    }
    const isQueueEmpty = arrivesAtMs > nowMs;
    state = stepOverload(state, { type: 'polled', isQueueEmpty }, nowMs).state;
    if (isQueueEmpty) {
      nowMs = arrivesAtMs;
      continue;
    }
    const connection = { type: 'connection', mayClose } as const;
    const { state: next, effects } = stepOverload(state, connection, nowMs);
    state = next;
    const type = effects[0]!.type as keyof typeof workMs;
    if (type === 'accept') {
      waitsMs.push(nowMs - arrivesAtMs);
      acceptedAtMs.push(nowMs);
    } else if (type === 'close') closedCount += 1;
    arrivesAtMs += gapMs;
    nowMs += POLL_MS + workMs[type];
  }
  return { waitsMs, acceptedAtMs, closedCount };
}

test('requests are not read after their callers have left while more connections come than can be read', (t) => {
  for (const factor of [2, 3, 10]) {
    const load = { perS: 200 * factor, forMs: 10_000, acceptMs: 5, closeMs: 0.3 };
    const { waitsMs, closedCount } = play(load);
    // A second after the beginning, and beyond it, no connection waits for much longer than the queue may stand.
    t.true(Math.max(...waitsMs) <= overloadRules.standingMs + 50, `${factor}`);
    t.true(closedCount > 0);
    // What closing costs is taken off; the rest of the time has to go into accepted connections.
    const leftMs = load.forMs - closedCount * (load.closeMs + POLL_MS);
    t.true(waitsMs.length >= 0.9 * (leftMs / (load.acceptMs + POLL_MS)), `${factor}`);
  }
});

// Guards against a process that spends its first seconds under pressure, or its stop, on refusals.
test('refusals around a start or a stop leave the time for requests that are served', (t) => {
  for (const perS of [250, 500, 1500]) {
    const load = { perS, forMs: 3000, acceptMs: 4, closeMs: 0.1 };
    const refusing = play({ ...load, refuseMs: 0.7 });
    const served = refusing.waitsMs.length;
    const usual = play(load).waitsMs.length;
    // A host that gets most connections has to serve three quarters of what it usually does.
    t.true(served >= 0.75 * usual, `${perS}: ${served} of ${usual}`);
  }
});

test('connections are not closed at usual load, in bursts, or after pauses of the process', (t) => {
  const usual = { perS: 100, forMs: 10_000, acceptMs: 5, closeMs: 0.3 };
  t.is(play(usual).closedCount, 0);
  const quota = Array.from({ length: 100 }, (_, at) => ({ atMs: at * 100, forMs: 76 }));
  t.is(play({ ...usual, perS: 90, acceptMs: 1.2, pauses: quota }).closedCount, 0);
  t.is(play({ ...usual, pauses: [{ atMs: 3000, forMs: 150 }] }).closedCount, 0);
});

test('an overloaded process does not stop to accept connections', (t) => {
  const load = { perS: 20_000, forMs: 5000, acceptMs: 5, closeMs: 0.3 };
  const { acceptedAtMs } = play(load);
  for (const [at, atMs] of acceptedAtMs.entries()) {
    const beforeMs = acceptedAtMs[at - 1] ?? 0;
    t.true(atMs - beforeMs <= overloadRules.acceptEveryMs + load.acceptMs);
  }
});

test('connections are accepted again once the queue has been empty', async (t) => {
  const clock = new VirtualClock();
  let closedCount = 0;
  const socket = {
    resetAndDestroy() {
      closedCount += 1;
    },
  } as unknown as Socket;
  const log = { info() {}, warn() {}, error() {} };
  const gate = new AcceptGate({ clock, log, decided() {}, polled() {}, mayClose: () => true });
  const turn = () => new Promise(setImmediate);
  // Each turn brings a connection, until the queue has been standing for too long.
  for (let atMs = 0; atMs <= overloadRules.standingMs + 20; atMs += 10) {
    clock.advanceTo(atMs);
    gate.admit(socket);
    await turn();
  }
  t.true(closedCount > 0);
  for (let count = 0; count < 3; count += 1) await turn();
  const before = closedCount;
  t.is(gate.admit(socket), 'accepted');
  t.is(closedCount, before);
});
