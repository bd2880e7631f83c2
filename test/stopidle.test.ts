import test from 'ava';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { systemClock } from '../src/base/index.js';
import type { Caller } from '../src/direct/index.js';
import { HttpCallerServer } from '../platform/httpcallerserver.js';

const LOG = { info() {}, warn() {}, error() {} };
const METRICS = { count() {}, gauge() {}, histogram() {} };
/** More than the kernel buffers of a connection. */
const LARGE_BYTES = 16_000_000;
/** Turns of the event loop in which the other end of a connection has read what was written. */
const DELIVERY_TURNS = 100;
const REQUEST =
  'POST /a/1 HTTP/1.1\r\nHost: h\r\nTarragonstile-Request-Id: 1\r\nContent-Length: 1\r\n\r\nx';

interface Rig {
  readonly server: HttpCallerServer;
  readonly socket: Socket;
  /** Resolves when the answer has ended at the server. */
  readonly answered: Promise<void>;
}

async function open(bytes: number): Promise<Rig> {
  let ended = () => {};
  const answered = new Promise<void>((resolve) => {
    ended = resolve;
  });
  const entry = {
    limits: undefined,
    accept(caller: Caller) {
      caller.begin(200, ['Content-Length', String(bytes)]);
      caller.write(Buffer.alloc(bytes, 'z'));
      caller.end();
      ended();
    },
  };
  const server = new HttpCallerServer(entry as never, systemClock, LOG, METRICS);
  const socket = connect(await server.listen('127.0.0.1', 0), '127.0.0.1');
  socket.on('error', () => undefined);
  return { server, socket, answered };
}

async function stop(server: HttpCallerServer): Promise<void> {
  server.leave(Infinity);
  server.shut();
  while (server.isListening) await nextTurn();
}

/** Does not resolve while the server keeps a connection open. */
async function untilClosed(server: HttpCallerServer): Promise<void> {
  while ((await server.connections()) > 0) await nextTurn();
  server.close();
}

// Guards against a stop that waits for a connection whose answer ended before it, and was still being sent.
test('a stop closes a connection once an answer that ended before it has been sent', async (t) => {
  const { server, socket, answered } = await open(LARGE_BYTES);
  socket.pause();
  socket.write(REQUEST);
  await answered;
  await stop(server);
  let bytes = 0;
  socket.on('data', (chunk) => {
    bytes += chunk.length;
  });
  socket.resume();
  await untilClosed(server);
  if (!socket.closed) await once(socket, 'close');
  t.true(bytes > LARGE_BYTES, `${bytes}`);
});

// Guards against a stop that waits for a connection with bytes behind a request that begin no other.
test('a stop closes an idle connection whose caller has sent an empty line behind its request', async (t) => {
  const { server, socket } = await open(2);
  socket.write(REQUEST);
  await once(socket, 'data');
  socket.write('\r\n');
  for (let turn = 0; turn < DELIVERY_TURNS; turn += 1) await nextTurn();
  await stop(server);
  await untilClosed(server);
  t.pass();
});
