import test from 'ava';
import { connect } from 'node:net';
import { systemClock } from '../src/base/index.js';
import type { Caller } from '../src/direct/index.js';
import { HttpCallerServer } from '../platform/httpcallerserver.js';
import { FakeEngine } from '../standin/index.js';
import { startRig } from './support/pathrig.js';

const LOG = { info() {}, warn() {}, error() {} };
const METRICS = { count() {}, gauge() {}, histogram() {} };
/** Larger than what the kernel buffers of a connection, so that a part is unread when the answer is written. */
const LARGE = Buffer.alloc(16_000_000, 'x');
const ANSWER_MS = 50;
const START = 'POST /services/a HTTP/1.1\r\nHost: caller.example\r\n';
const BODY = JSON.stringify({ model: 'notice-1', messages: [{ content: 'a' }] });
/** A request that both paths answer. */
const ANSWERED =
  'POST /v1/chat/completions HTTP/1.1\r\nHost: caller.example\r\nAuthorization: Bearer carrier-key\r\n' +
  `Tarragonstile-Request-Id: 1\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`;
/** After the answer has arrived, the caller writes for this long before it reads. */
const WRITE_ON_MS = 300;
/** Longer than a connection may stay open after an answer of the parser. */
const CLOSED_WITHIN_MS = 5000;

/** Answers when what is behind the request has been read. */
function answerLater(caller: Caller): void {
  setTimeout(() => {
    caller.begin(200, ['Content-Length', '0']);
    caller.end();
  }, ANSWER_MS);
}

interface Opened {
  readonly port: number;
  close(): Promise<void>;
}

const PATHS: Readonly<Record<string, () => Promise<Opened>>> = {
  'the prepared platform': async () => {
    const limits = { headerTimeoutMs: 200, idleTimeoutMs: 15_000, headerBytes: 16_384 };
    const entry = { limits: { ...limits, bodyBytes: 1_000_000 }, accept: answerLater };
    const server = new HttpCallerServer(entry as never, systemClock, LOG, METRICS);
    return {
      port: await server.listen('127.0.0.1', 0),
      close: () => Promise.resolve(server.close()),
    };
  },
  'the path with sidecars': async () => {
    const engine = new FakeEngine({ tokenMs: 1, tokens: 1 });
    const rig = await startRig({ upstreams: [{ url: await engine.listen() }] });
    const close = async () => {
      await rig.close();
      await engine.close();
    };
    return { port: rig.port, close };
  },
};

const REFUSED: Readonly<Record<string, readonly [RegExp, string]>> = {
  'a malformed header': [/^HTTP\/1\.1 400 /, `${START}Bad@Header: 1\r\n\r\n`],
  'headers that are too large': [/^HTTP\/1\.1 431 /, `${START}Large: `],
};

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

for (const [path, open] of Object.entries(PATHS)) {
  // A close with unread bytes makes the kernel send a reset, which overtook the parser's answer.
  for (const [name, [expected, text]] of Object.entries(REFUSED)) {
    test(`${path}: the refusal of ${name} is not lost while its caller still writes`, async (t) => {
      const { port, close } = await open();
      t.teardown(close);
      t.regex(await writeThenRead(port, Buffer.concat([Buffer.from(text), LARGE])), expected);
    });
  }

  // Guards against connections that callers keep open for good after a refusal.
  test(`${path}: a connection is closed after a refusal although its caller does not end it`, async (t) => {
    const { port, close } = await open();
    t.teardown(close);
    const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
    socket.on('error', () => undefined);
    socket.resume();
    t.teardown(() => socket.destroy());
    socket.write(REFUSED['a malformed header']![1]);
    const write = setInterval(() => socket.write('x'), 50);
    const isClosed = await new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), CLOSED_WITHIN_MS);
      socket.once('close', () => {
        clearTimeout(timer);
        resolve(true);
      });
    });
    clearInterval(write);
    t.true(isClosed);
  });
}

// Guards against a reset that overtakes the answer to a head that takes too long.
test('the refusal of a head that takes too long is not lost while its caller still writes', async (t) => {
  const { port, close } = await PATHS['the prepared platform']!();
  t.teardown(close);
  const socket = connect(port, '127.0.0.1');
  socket.write(START);
  const write = setInterval(() => socket.write('Name: value\r\n'), 10);
  const end = await new Promise<string>((resolve) => {
    socket.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message));
    socket.once('readable', () => {
      setTimeout(() => {
        clearInterval(write);
        resolve(String(socket.read()));
      }, WRITE_ON_MS);
    });
  });
  clearInterval(write);
  socket.destroy();
  t.regex(end, /^HTTP\/1\.1 408 /);
});

// Guards against a connection that is closed without the answer to a request that was read.
for (const [path, open] of Object.entries(PATHS)) {
  test(`${path}: what cannot be parsed is refused after the answer to the request before it`, async (t) => {
    const { port, close } = await open();
    t.teardown(close);
    const text = await writeThenRead(port, Buffer.from(`${ANSWERED}NO HTTP\r\n\r\n`));
    t.regex(text, /^HTTP\/1\.1 200 [^]*HTTP\/1\.1 400 /);
  });
}
