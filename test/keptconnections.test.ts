import test from 'ava';
import { connect } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { systemClock } from '../src/base/index.js';
import type { Caller } from '../src/direct/index.js';
import { HttpCallerServer } from '../platform/httpcallerserver.js';

const LOG = { info() {}, warn() {}, error() {} };
const METRICS = { count() {}, gauge() {}, histogram() {} };
const REQUEST =
  'POST /a/1 HTTP/1.1\r\nHost: h\r\nTarragonstile-Request-Id: 1\r\nContent-Length: 1\r\n\r\nx';
/** Turns of the event loop in which the other end of a connection has read what was written. */
const DELIVERY_TURNS = 100;
/** Longer than a connection has to be idle before it is closed. */
const LONG_MS = 10_000;

async function deliver(): Promise<void> {
  for (let turn = 0; turn < DELIVERY_TURNS; turn += 1) await nextTurn();
}

// Guards against a kept connection that is closed without notice right when its caller sends the next request.
for (const [phase, status] of [
  ['accepts requests', 200],
  ['has closed its listener', 503],
] as const) {
  test(`a request behind a stream that began before the stop is answered while the stop ${phase}`, async (t) => {
    const held: Caller[] = [];
    const entry = { limits: undefined, accept: (caller: Caller) => held.push(caller) };
    let skippedMs = 0;
    // Connections are idle for no time, however slow the machine is, until the test lets time pass.
    const clock = { ...systemClock, nowMs: () => skippedMs };
    const server = new HttpCallerServer(entry as never, clock, LOG, METRICS);
    t.teardown(() => server.close());
    const socket = connect(await server.listen('127.0.0.1', 0), '127.0.0.1');
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString();
    });
    const closed = new Promise((resolve) => {
      socket.on('close', resolve);
    });
    socket.on('error', () => undefined);
    socket.write(REQUEST);
    while (held.length === 0) await nextTurn();
    held[0]!.begin(200, []);
    held[0]!.write(Buffer.from('one'));
    while (!text.includes('one')) await nextTurn();
    server.leave(Infinity);
    if (status === 503) {
      server.shut();
      skippedMs += LONG_MS;
      while (server.isListening) await nextTurn();
    }
    held[0]!.end();
    while (!text.endsWith('0\r\n\r\n')) await nextTurn();
    await deliver();
    // Nothing has told the caller that the connection closes.
    t.notRegex(text, /connection: close/i);
    socket.write(REQUEST);
    await deliver();
    for (const caller of held.slice(1)) {
      caller.begin(200, ['Content-Length', '2']);
      caller.write(Buffer.from('ok'));
      caller.end();
    }
    await closed;
    const answers = [...text.matchAll(/HTTP\/1\.1 (\d+) /g)].map((match) => Number(match[1]));
    t.deepEqual(answers, [200, status]);
    t.regex(text, /connection: close/i);
  });
}

// Guards against a stop that waits to its end for kept connections on which nothing comes any more.
test('a stop closes a kept connection on which no further request comes', async (t) => {
  const held: Caller[] = [];
  const entry = { limits: undefined, accept: (caller: Caller) => held.push(caller) };
  let skippedMs = 0;
  const clock = { ...systemClock, nowMs: () => skippedMs };
  const server = new HttpCallerServer(entry as never, clock, LOG, METRICS);
  t.teardown(() => server.close());
  const socket = connect(await server.listen('127.0.0.1', 0), '127.0.0.1');
  const closed = new Promise((resolve) => {
    socket.on('close', resolve);
  });
  socket.resume();
  socket.write(REQUEST);
  while (held.length === 0) await nextTurn();
  held[0]!.begin(200, []);
  server.leave(Infinity);
  server.shut();
  skippedMs += LONG_MS;
  while (server.isListening) await nextTurn();
  held[0]!.end();
  await deliver();
  skippedMs += LONG_MS;
  await closed;
  t.is(await server.connections(), 0);
});
