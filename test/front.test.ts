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
import { Front } from '../platform/front.js';
import { askRaw } from './support/askraw.js';

const LOG = { info() {}, warn() {}, error() {} };
const REQUEST =
  'POST /a/1 HTTP/1.1\r\nHost: h\r\nTarragonstile-Request-Id: 1\r\nContent-Length: 2\r\n';
/** Writes a request, closes the connection, and only then makes the file that it is told of. */
const CALLER_THAT_LEAVES = `
const { connect } = require('node:net');
const { writeFileSync } = require('node:fs');
const [port, text, mark] = process.argv.slice(1);
const socket = connect(Number(port), '127.0.0.1', () => socket.end(text, () => {
  writeFileSync(mark, '');
  socket.destroy();
}));
socket.on('error', () => undefined);`;

interface Door {
  readonly front: Front;
  readonly port: number;
  readonly accepted: Caller[];
}

/** A front whose entry answers each request that it accepts. */
async function open(clock: Clock): Promise<Door> {
  const accepted: Caller[] = [];
  const entry = {
    limits: undefined,
    accept(caller: Caller) {
      accepted.push(caller);
      caller.begin(200, ['Content-Length', '0'], true);
      caller.end();
    },
  };
  const front = new Front(entry as never, clock, LOG);
  return { front, port: await front.listen('127.0.0.1', 0), accepted };
}

test('requests around the end of the time in which work is taken are answered or refused at once', async (t) => {
  const graceMs = 8000;
  const lastMs = acceptRequestsMs(graceMs);
  // From here on nothing but a refusal may come of a request, whatever phase was last looked at.
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
    const { front, port, accepted } = await open(clock);
    front.leave(lastMs);
    clock.advanceTo(atMs);
    const answer = await askRaw(port, `${REQUEST}\r\nxy`);
    t.is(answer.status, status, `at ${atMs} ms`);
    t.is(accepted.length, status === 200 ? 1 : 0, `at ${atMs} ms`);
    front.close();
  }
});

test('a request whose body ends after the time in which work is taken is refused', async (t) => {
  const clock = new VirtualClock();
  const { front, port, accepted } = await open(clock);
  front.leave(100);
  let text = '';
  await new Promise<void>((resolve) => {
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(`${REQUEST}Expect: 100-continue\r\n\r\n`);
    });
    socket.on('data', (chunk) => {
      if (text === '') {
        // The head has been read in time.
        clock.advanceTo(100);
        socket.write('xy');
      }
      text += chunk.toString();
    });
    socket.on('close', () => resolve());
  });
  t.regex(text, /HTTP\/1\.1 503/);
  t.is(accepted.length, 0);
  front.close();
});

test('a request whose caller left while the process stood still is not accepted', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'front-'));
  const mark = join(folder, 'left');
  const { front, port, accepted } = await open(systemClock);
  const args = ['-e', CALLER_THAT_LEAVES, String(port), `${REQUEST}\r\nxy`, mark];
  const caller = promisify(execFile)(process.execPath, args);
  // Nothing is read here until the caller has left.
  while (!existsSync(mark));
  await caller;
  const present = await askRaw(port, `${REQUEST}Connection: close\r\n\r\nxy`);
  t.is(present.status, 200);
  t.is(accepted.length, 1);
  front.close();
  rmSync(folder, { recursive: true });
});

/** Opens a connection; an answer's status, or the error that ended it without one. */
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

// Guards against stops that reset requests: they get "not run" or are never taken, not silence.
test('a connection that is open but not accepted when a stop shuts the listener gets an answer', async (t) => {
  const { front, port } = await open(systemClock);
  const socket = connect(port, '127.0.0.1');
  const ended = ending(socket);
  socket.write(WHOLE_REQUEST);
  // The kernel completes the connection as soon as it is asked for; accepting it takes a turn of the event loop.
  await new Promise<void>((resolve) => {
    process.nextTick(resolve);
  });
  front.shut();
  t.is(await ended, '503');
  front.close();
});

test('a request that waits unread on a new connection when a stop shuts the listener gets an answer', async (t) => {
  const { front, port } = await open(systemClock);
  const socket = connect(port, '127.0.0.1');
  const ended = ending(socket);
  await once(socket, 'connect');
  await new Promise(setImmediate);
  socket.write(WHOLE_REQUEST);
  front.shut();
  t.is(await ended, '503');
  front.close();
});

test('a request that waits unread on a kept connection when a stop shuts the listener gets an answer', async (t) => {
  const { front, port } = await open(systemClock);
  const socket = connect(port, '127.0.0.1');
  socket.write(WHOLE_REQUEST);
  await once(socket, 'data');
  const ended = ending(socket);
  socket.write(WHOLE_REQUEST);
  front.shut();
  t.is(await ended, '503');
  front.close();
});
