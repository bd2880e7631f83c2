import test from 'ava';
import { connect } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { systemClock, VirtualClock } from '../src/base/index.js';
import type { Caller } from '../src/direct/index.js';
import { HttpCallerServer } from '../platform/httpcallerserver.js';

const LOG = { info() {}, warn() {}, error() {} };
const METRICS = { count() {}, gauge() {}, histogram() {} };
const LIMITS = { headerTimeoutMs: 10_000, idleTimeoutMs: 15_000, headerBytes: 16_384 };
/** Larger than what the kernel buffers of a connection, so that a part is unread when the answer is written. */
const LARGE_BYTES = 16_000_000;

function headOf(length: number): string {
  return `POST /a/1 HTTP/1.1\r\nHost: h\r\nTarragonstile-Request-Id: 1\r\nContent-Length: ${length}\r\n\r\n`;
}

const LARGE = Buffer.concat([Buffer.from(headOf(LARGE_BYTES)), Buffer.alloc(LARGE_BYTES, 'x')]);

async function open(): Promise<{ server: HttpCallerServer; port: number }> {
  const entry = {
    limits: { ...LIMITS, bodyBytes: 1_000_000 },
    accept(caller: Caller) {
      caller.begin(200, ['Content-Length', '2']);
      caller.write(Buffer.from('ok'));
      caller.end();
    },
  };
  const server = new HttpCallerServer(entry as never, systemClock, LOG, METRICS);
  return { server, port: await server.listen('127.0.0.1', 0) };
}

/** Writes everything before it reads, as simple clients do. Resolves with the answer, or with what ended the connection. */
function writeThenRead(port: number, bytes: Buffer): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    const socket = connect(port, '127.0.0.1');
    socket.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message));
    socket.write(bytes, () => {
      socket.on('data', (chunk) => {
        text += chunk.toString();
      });
      socket.on('end', () => socket.destroy());
      socket.on('close', () => resolve(text));
    });
  });
}

// A close with unread bytes makes the kernel send a reset, which overtook the answer before it.
test('a refusal is not lost while its caller still writes the body', async (t) => {
  const { server, port } = await open();
  t.regex(await writeThenRead(port, LARGE), /^HTTP\/1\.1 413 /);
  server.close();
});

test('the refusal of a stopping process is not lost while its caller still writes the body', async (t) => {
  const { server, port } = await open();
  server.leave(-Infinity);
  t.regex(await writeThenRead(port, LARGE), /^HTTP\/1\.1 503 /);
  server.close();
});

test('the last answer of a stopping process is not lost to a further request that its caller writes', async (t) => {
  const { server, port } = await open();
  server.leave(Infinity);
  const first = Buffer.from(`${headOf(2)}xy`);
  const text = await writeThenRead(port, Buffer.concat([first, LARGE]));
  t.regex(text, /^HTTP\/1\.1 200 [^]*ok/);
  server.close();
});

/** Turns of the event loop in which the other end of a connection has read what was written. */
const DELIVERY_TURNS = 100;

// Guards against a refusal that is lost to a caller with a slow link, which takes long to write the body.
test('a refusal is not lost while its caller writes the body for longer than a connection lingers', async (t) => {
  const clock = new VirtualClock();
  const entry = { limits: { ...LIMITS, bodyBytes: 10 }, accept: () => undefined };
  const server = new HttpCallerServer(entry as never, clock, LOG, METRICS);
  const port = await server.listen('127.0.0.1', 0);
  const socket = connect({ port, host: '127.0.0.1', noDelay: true });
  let end = '';
  socket.on('error', (error: NodeJS.ErrnoException) => {
    end = error.code ?? error.message;
  });
  socket.write(headOf(LARGE_BYTES));
  for (let part = 0; part < 3; part += 1) {
    socket.write('x'.repeat(100));
    for (let turn = 0; turn < DELIVERY_TURNS; turn += 1) await nextTurn();
    clock.advanceTo(clock.nowMs() + 900);
  }
  t.is(end, '');
  t.is(await server.connections(), 1);
  t.regex(String(socket.read()), /^HTTP\/1\.1 413 /);
  // A caller that sends nothing more is not waited for.
  clock.advanceTo(clock.nowMs() + 2000);
  while ((await server.connections()) > 0) await nextTurn();
  server.close();
});

/** A server whose requests are kept by the test, which answers them. */
async function openHeld(): Promise<{ server: HttpCallerServer; port: number; held: Caller[] }> {
  const held: Caller[] = [];
  const entry = { limits: undefined, accept: (caller: Caller) => held.push(caller) };
  const server = new HttpCallerServer(entry as never, systemClock, LOG, METRICS);
  return { server, port: await server.listen('127.0.0.1', 0), held };
}

async function until(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await nextTurn();
}

// Guards against pipelined requests that were passed on and lost behind an answer that closes the connection.
test('a stop closes a connection only after the answer to the last request that was read on it', async (t) => {
  const { server, port, held } = await openHeld();
  const answered = writeThenRead(port, Buffer.from(`${headOf(1)}x${headOf(1)}y`));
  await until(() => held.length === 2);
  server.leave(Infinity);
  for (const caller of held) {
    caller.begin(200, ['Content-Length', '2']);
    caller.write(Buffer.from('ok'));
    caller.end();
  }
  const text = await answered;
  t.is(text.match(/HTTP\/1\.1 200 /g)?.length, 2);
  t.is(text.match(/connection: close/gi)?.length, 1);
  t.is(server.unwritten, 0);
  server.close();
});

/** Answers with what a stopping entry sends, before the further requests that have arrived are read. */
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

// Guards against requests that lie unread while the answer before them closes their connection.
for (const [name, answer] of Object.entries(ENDS)) {
  test(`a stop answers a pipelined request that has arrived behind ${name}`, async (t) => {
    const { server, port, held } = await openHeld();
    const socket = connect(port, '127.0.0.1');
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString();
    });
    socket.on('end', () => socket.destroy());
    const closed = new Promise((resolve) => {
      socket.on('close', resolve);
    });
    socket.write(`${headOf(1)}x`);
    await until(() => held.length === 1);
    server.leave(Infinity);
    await new Promise((resolve) => {
      socket.write(`${headOf(1)}y`, resolve);
    });
    answer(held[0]!);
    await until(() => held.length === 2 || socket.destroyed);
    if (held[1]) answer(held[1]);
    await closed;
    t.is(text.match(/HTTP\/1\.1 /g)?.length, 2);
    t.is(text.match(/connection: close/gi)?.length, 1);
    server.close();
  });
}

// Guards against an unread request behind an answer whose head was sent before the stop began.
test('the end of a stream does not close its connection while a further request lies unread', async (t) => {
  const { server, port, held } = await openHeld();
  const socket = connect(port, '127.0.0.1');
  let text = '';
  socket.on('data', (chunk) => {
    text += chunk.toString();
  });
  socket.on('end', () => socket.destroy());
  const closed = new Promise((resolve) => {
    socket.on('close', resolve);
  });
  socket.write(`${headOf(1)}x`);
  await until(() => held.length === 1);
  held[0]!.begin(200, []);
  held[0]!.write(Buffer.from('id: 1\n\n'));
  server.leave(Infinity);
  await new Promise((resolve) => {
    socket.write(`${headOf(1)}y`, resolve);
  });
  held[0]!.end();
  await until(() => held.length === 2 || socket.destroyed);
  if (held[1]) ENDS['an answer']!(held[1]);
  await closed;
  t.is(text.match(/HTTP\/1\.1 200 /g)?.length, 2);
  server.close();
});

// Guards against a refusal of a stopping process behind which a further request is not answered.
test('a stopping process refuses each of several pipelined requests', async (t) => {
  const { server, port } = await open();
  server.leave(-Infinity);
  const text = await writeThenRead(port, Buffer.from(`${headOf(1)}x${headOf(1)}y${headOf(1)}z`));
  t.is(text.match(/HTTP\/1\.1 503 /g)?.length, 3);
  t.is(text.match(/connection: close/gi)?.length, 1);
  server.close();
});

// Guards against an answer that is cut while a slow caller still receives it.
test('closing the listener does not cut an answer that has ended and is still being sent', async (t) => {
  const { server, port, held } = await openHeld();
  const socket = connect(port, '127.0.0.1');
  socket.pause();
  socket.write(`${headOf(1)}x`);
  await until(() => held.length === 1);
  server.leave(Infinity);
  const [caller] = held;
  caller!.begin(200, ['Content-Length', String(LARGE_BYTES)]);
  caller!.write(Buffer.alloc(LARGE_BYTES, 'z'));
  caller!.end();
  server.shut();
  await until(() => !server.isListening);
  let bytes = 0;
  socket.on('data', (chunk) => {
    bytes += chunk.length;
  });
  await new Promise((resolve) => {
    socket.on('close', resolve);
    socket.on('end', () => socket.destroy());
    socket.on('error', () => undefined);
    socket.resume();
  });
  t.true(bytes > LARGE_BYTES, `${bytes}`);
  server.close();
});
