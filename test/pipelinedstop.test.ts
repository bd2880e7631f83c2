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

/** What an entry sends for the second request, while the answer to the first is still due. */
const ENDS: Readonly<Record<string, (caller: Caller) => void>> = {
  'an answer': (caller) => {
    caller.begin(200, ['Content-Length', '2']);
    caller.write(Buffer.from('ok'));
    caller.end();
  },
  'a refusal': (caller) => {
    caller.refuse({ status: 503, type: 'upstreams-full', detail: '', executed: 'no' });
  },
};

async function deliver(): Promise<void> {
  for (let turn = 0; turn < DELIVERY_TURNS; turn += 1) await nextTurn();
}

// Guards against requests that are read and ignored behind a close that is still queued behind a slow answer.
for (const [name, answer] of Object.entries(ENDS)) {
  test(`a stop answers a request that comes while ${name} waits behind a slow one`, async (t) => {
    const held: Caller[] = [];
    const entry = { limits: undefined, accept: (caller: Caller) => held.push(caller) };
    const server = new HttpCallerServer(entry as never, systemClock, LOG, METRICS);
    t.teardown(() => server.close());
    const socket = connect(await server.listen('127.0.0.1', 0), '127.0.0.1');
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString();
    });
    socket.on('end', () => socket.destroy());
    const closed = new Promise((resolve) => {
      socket.on('close', resolve);
    });
    socket.write(REQUEST + REQUEST);
    while (held.length < 2) await nextTurn();
    server.leave(Infinity);
    answer(held[1]!);
    await deliver();
    // Nothing has told the caller that the connection closes.
    t.is(text, '');
    socket.write(REQUEST);
    await deliver();
    ENDS['an answer']!(held[0]!);
    if (held[2]) answer(held[2]);
    await closed;
    t.is(text.match(/HTTP\/1\.1 /g)?.length, 3);
  });
}
