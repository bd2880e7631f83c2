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
test('connections that wait behind one slow turn of the event loop are not reset', async (t) => {
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
});

test('a queue that few turns of the event loop have found is accepted, however long these took', (t) => {
  let state = initialOverload();
  let nowMs = 0;
  for (let turn = 0; turn < 12; turn += 1) {
    const next = stepOverload(state, { type: 'connection' }, nowMs);
    t.is(next.effects[0]?.type, 'accept');
    nowMs += overloadRules.standingMs;
    state = stepOverload(next.state, { type: 'polled', isQueueEmpty: false }, nowMs).state;
  }
});
