import test from 'ava';
import { connect } from 'node:net';
import { systemClock } from '../src/base/index.js';
import { initialOverload, overloadRules, stepOverload } from '../src/core/overload/index.js';
import type { Caller } from '../src/direct/index.js';
import { HttpCallerServer } from '../platform/httpcallerserver.js';
import { stallEventLoop } from './support/stalleventloop.js';

const LOG = { info() {}, warn() {}, error() {} };
const METRICS = { count() {}, gauge() {}, histogram() {} };
const REQUEST =
  'POST /a/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTarragonstile-Request-Id: 1\r\nContent-Length: 2\r\n\r\nxy';
const CALLERS = 12;
/** More than wait for the 16 turns of the event loop after which the queue counts as standing. */
const MANY_CALLERS = 60;
const TURN_MS = 25;

/** Resolves with the status of the answer, or with the error that ended the connection without one. */
function ask(port: number): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    const socket = connect(port, '127.0.0.1');
    socket.write(REQUEST);
    socket.on('data', (chunk) => {
      text += chunk.toString();
    });
    socket.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message));
    socket.on('close', () => resolve(text.split(' ')[1] ?? 'no answer'));
  });
}

// Guards against callers that are reset unread because the first request of a process takes long.
test.serial(
  'connections that wait behind one slow turn of the event loop are not reset',
  async (t) => {
    let count = 0;
    const entry = {
      limits: undefined,
      accept(caller: Caller) {
        count += 1;
        if (count === 1) stallEventLoop(overloadRules.standingMs * 1.5);
        caller.begin(200, ['Content-Length', '0']);
        caller.end();
      },
    };
    const server = new HttpCallerServer(entry as never, systemClock, LOG, METRICS);
    const port = await server.listen('127.0.0.1', 0);
    const ends = await Promise.all(Array.from({ length: CALLERS }, () => ask(port)));
    t.deepEqual(
      ends,
      Array.from({ length: CALLERS }, () => '200'),
    );
    server.close();
  },
);

/** An entry that works for some time on each request. */
function slowEntry() {
  return {
    limits: undefined,
    accept(caller: Caller) {
      stallEventLoop(TURN_MS);
      caller.begin(200, ['Content-Length', '0']);
      caller.end();
    },
  };
}

async function answersOf(server: HttpCallerServer, port: number): Promise<Set<string>> {
  const ends = await Promise.all(Array.from({ length: MANY_CALLERS }, () => ask(port)));
  server.close();
  return new Set(ends);
}

// Guards against requests that a process resets unread in its first seconds, which their callers cannot tell from lost ones.
test.serial(
  'a process that has just begun to listen answers the requests that it cannot read in time',
  async (t) => {
    const server = new HttpCallerServer(slowEntry() as never, systemClock, LOG, METRICS);
    const port = await server.listen('127.0.0.1', 0);
    t.deepEqual(await answersOf(server, port), new Set(['200', '503']));
  },
);

// Guards against requests that a planned stop resets unread.
test.serial('a process that stops answers the requests that it cannot read in time', async (t) => {
  let sinceMs = 0;
  const clock = { ...systemClock, nowMs: () => systemClock.nowMs() + sinceMs };
  const server = new HttpCallerServer(slowEntry() as never, clock, LOG, METRICS);
  const port = await server.listen('127.0.0.1', 0);
  sinceMs = overloadRules.startingMs;
  server.leave(Infinity);
  t.deepEqual(await answersOf(server, port), new Set(['200', '503']));
});

// Guards against an overloaded process that spends its time on refusals.
test.serial(
  'a process that has listened for longer closes unread what it cannot read in time',
  async (t) => {
    let sinceMs = 0;
    const clock = { ...systemClock, nowMs: () => systemClock.nowMs() + sinceMs };
    const server = new HttpCallerServer(slowEntry() as never, clock, LOG, METRICS);
    const port = await server.listen('127.0.0.1', 0);
    sinceMs = overloadRules.startingMs;
    t.deepEqual(await answersOf(server, port), new Set(['200', 'ECONNRESET']));
  },
);

test('a queue that few turns of the event loop have found is accepted, however long these took', (t) => {
  let state = initialOverload();
  let nowMs = 0;
  for (let turn = 0; turn < 12; turn += 1) {
    const next = stepOverload(state, { type: 'connection', mayClose: true }, nowMs);
    t.is(next.effects[0]?.type, 'accept');
    nowMs += overloadRules.standingMs;
    state = stepOverload(next.state, { type: 'polled', isQueueEmpty: false }, nowMs).state;
  }
});
