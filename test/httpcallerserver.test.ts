import test from 'ava';
import { execFile } from 'node:child_process';
import { existsSync, mkdtempSync, rmSync } from 'node:fs';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { systemClock, VirtualClock, type Clock } from '../src/base/index.js';
import { stopPhase, acceptRequestsMs } from '../src/core/plannedstop/index.js';
import type { Caller } from '../src/direct/index.js';
import { HttpCallerServer } from '../platform/httpcallerserver.js';
import { sendRaw } from './support/sendraw.js';

const LOG = { info() {}, warn() {}, error() {} };
const METRICS = { count() {}, gauge() {}, histogram() {} };
const REQUEST =
  'POST /a/1 HTTP/1.1\r\nHost: h\r\nTarragonstile-Request-Id: 1\r\nContent-Length: 2\r\n';
/** Sends a request, closes the connection and then creates the marker file named in its arguments. */
const DISCONNECTING_CALLER = `
const { connect } = require('node:net');
const { writeFileSync } = require('node:fs');
const [port, text, marker] = process.argv.slice(1);
const socket = connect(Number(port), '127.0.0.1', () => socket.end(text, () => {
  writeFileSync(marker, '');
  socket.destroy();
}));
socket.on('error', () => undefined);`;

interface TestServer {
  readonly server: HttpCallerServer;
  readonly port: number;
  readonly accepted: Caller[];
}

/** Starts a server whose entry answers each request that it accepts. */
async function open(clock: Clock): Promise<TestServer> {
  const accepted: Caller[] = [];
  const entry = {
    limits: undefined,
    accept(caller: Caller) {
      accepted.push(caller);
      caller.begin(200, ['Content-Length', '0']);
      caller.end();
    },
  };
  const server = new HttpCallerServer(entry as never, clock, LOG, METRICS);
  return { server, port: await server.listen('127.0.0.1', 0), accepted };
}

test('a request is answered before the accept deadline of a stop and refused at once after it', async (t) => {
  const graceMs = 8000;
  const lastMs = acceptRequestsMs(graceMs);
  // From here on every request has to be refused, whichever phase was computed last.
  t.is(stopPhase(lastMs, graceMs), 'listening');
  for (const [atMs, status] of [
    [0, 200],
    [lastMs - 1, 200],
    [lastMs, 503],
    [lastMs + 12, 503],
    [3000, 503],
    [3012, 503],
    [3050, 503],
  ] as const) {
    const clock = new VirtualClock();
    const { server, port, accepted } = await open(clock);
    server.leave(lastMs);
    clock.advanceTo(atMs);
    const answer = await sendRaw(port, `${REQUEST}\r\nxy`);
    t.is(answer.status, status, `at ${atMs} ms`);
    t.is(accepted.length, status === 200 ? 1 : 0, `at ${atMs} ms`);
    server.close();
  }
});

// A parser that accepts a space in a name hides a second length from this process, not from the next server.
for (const name of ['Bad Header', 'X Content-Length', 'Content-Length ', 'Transfer Encoding']) {
  test(`a request with the header name "${name}" is refused, not passed on`, async (t) => {
    const { server, port, accepted } = await open(systemClock);
    const answer = await sendRaw(port, `${REQUEST}${name}: 5\r\n\r\nxy`);
    t.is(answer.status, 400);
    t.is(accepted.length, 0);
    server.close();
  });
}

test('a request whose body is complete only after the accept deadline of a stop is refused', async (t) => {
  const clock = new VirtualClock();
  const { server, port, accepted } = await open(clock);
  server.leave(100);
  let text = '';
  await new Promise<void>((resolve) => {
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(`${REQUEST}Expect: 100-continue\r\n\r\n`);
    });
    socket.on('data', (chunk) => {
      if (text === '') {
        // The head was read before the deadline.
        clock.advanceTo(100);
        socket.write('xy');
      }
      text += chunk.toString();
    });
    socket.on('close', () => resolve());
  });
  t.regex(text, /HTTP\/1\.1 503/);
  t.is(accepted.length, 0);
  server.close();
});

test('a request whose caller disconnected while the event loop was stalled is not accepted', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'front-'));
  const marker = join(folder, 'left');
  const { server, port, accepted } = await open(systemClock);
  const args = ['-e', DISCONNECTING_CALLER, String(port), `${REQUEST}\r\nxy`, marker];
  const caller = promisify(execFile)(process.execPath, args);
  // Stalls the event loop until the caller has disconnected.
  while (!existsSync(marker));
  await caller;
  const later = await sendRaw(port, `${REQUEST}Connection: close\r\n\r\nxy`);
  t.is(later.status, 200);
  t.is(accepted.length, 1);
  server.close();
  rmSync(folder, { recursive: true });
});

/** Resolves with the status of the answer, or with the error that closed the connection without one. */
function ending(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString();
    });
    socket.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message));
    socket.on('close', () => resolve(text.split(' ')[1] ?? 'no answer'));
  });
}

const WHOLE_REQUEST = `${REQUEST}\r\nxy`;

// A stop that closes the listener too early makes the kernel reset requests that were not read yet. Their callers
// get no answer and cannot tell whether the request ran; they have to get a refusal instead.
test('a connection that waits to be accepted when a stop closes the listener gets an answer', async (t) => {
  const { server, port } = await open(systemClock);
  const socket = connect(port, '127.0.0.1');
  const ended = ending(socket);
  socket.write(WHOLE_REQUEST);
  // The kernel establishes the connection at once; accepting it takes a turn of the event loop.
  await new Promise<void>((resolve) => {
    process.nextTick(resolve);
  });
  server.shut();
  t.is(await ended, '503');
  server.close();
});

test('an unread request on a new connection gets an answer when a stop closes the listener', async (t) => {
  const { server, port } = await open(systemClock);
  const socket = connect(port, '127.0.0.1');
  const ended = ending(socket);
  await once(socket, 'connect');
  await new Promise(setImmediate);
  socket.write(WHOLE_REQUEST);
  server.shut();
  t.is(await ended, '503');
  server.close();
});

test('an unread request on a keep-alive connection gets an answer when a stop closes the listener', async (t) => {
  const { server, port } = await open(systemClock);
  const socket = connect(port, '127.0.0.1');
  socket.write(WHOLE_REQUEST);
  await once(socket, 'data');
  const ended = ending(socket);
  socket.write(WHOLE_REQUEST);
  server.shut();
  t.is(await ended, '503');
  server.close();
});

/** Connections that a load balancer without health checks opens meanwhile. */
const LATE_CALLERS = 200;

// Guards against a listener that stays open until the process exits, which resets the requests that it has just accepted.
test('a stop closes the listener although connections still arrive, and answers those that it accepted', async (t) => {
  const { server, port } = await open(systemClock);
  server.leave(-Infinity);
  server.shut();
  server.closeListener();
  const ends = new Set<string>();
  for (let count = 0; count < LATE_CALLERS && server.isListening; count += 1) {
    const socket = connect(port, '127.0.0.1');
    socket.write(WHOLE_REQUEST);
    ends.add(await ending(socket));
  }
  t.false(server.isListening);
  ends.delete('ECONNREFUSED');
  t.true(ends.size === 0 || ends.has('503'), [...ends].join());
  ends.delete('503');
  t.deepEqual([...ends], []);
  server.close();
});

const WAITING_CALLERS = 6;

// Guards against requests that lie unread in a process that has got no processor until it has to exit.
test('a process that has to exit refuses the requests that have arrived meanwhile', async (t) => {
  const { server, port } = await open(systemClock);
  const kept = connect(port, '127.0.0.1');
  kept.write(WHOLE_REQUEST);
  await once(kept, 'data');
  const ends = Array.from({ length: WAITING_CALLERS }, () => {
    const socket = connect(port, '127.0.0.1');
    socket.write(WHOLE_REQUEST);
    return ending(socket);
  });
  ends.push(ending(kept));
  kept.write(WHOLE_REQUEST);
  // The kernel establishes the connections at once.
  await new Promise<void>((resolve) => {
    process.nextTick(resolve);
  });
  server.shut();
  await server.refuseArrived();
  server.close();
  t.deepEqual(
    await Promise.all(ends),
    Array.from({ length: WAITING_CALLERS + 1 }, () => '503'),
  );
});
