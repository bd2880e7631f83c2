import test from 'ava';
import type { Socket } from 'node:net';
import { systemClock } from '../src/base/index.js';
import { Channel } from '../src/shell/http1/index.js';
import { afterReads } from '../src/shell/loop/index.js';
import { RawServer } from './support/rawserver.js';

const CALL = { method: 'GET', path: '/', headers: [] };
/** More than one turn of the parser, less than a socket buffers before it stops reading. */
const SMALL_CHUNKS = '1\r\nx\r\n'.repeat(2000);
/** Ends exactly at the piece at which the parser pauses. */
const ONE_TURN = `${'1\r\nx\r\n'.repeat(255)}1\r\nx`;
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
const OK = 'HTTP/1.1 200 OK\r\n';
const FIRST = 'x'.repeat(1000);

/** Resolves with how an answer ended; `received` is called with each part. */
function ask(
  channel: Channel,
  onData: (bytes: Buffer) => boolean,
): { readonly outcome: Promise<string>; resume(): void } {
  let exchange: ReturnType<Channel['send']>;
  const outcome = new Promise<string>((resolve) => {
    exchange = channel.send(CALL, {
      head() {},
      data: onData,
      end: () => resolve('end'),
      failed: ({ type }) => resolve(type),
    });
  });
  return { outcome, resume: () => exchange?.resume() };
}

async function openTo(
  t: { teardown(act: () => void): void },
  answer: (socket: Socket) => void,
): Promise<Channel> {
  const server = await RawServer.listen(answer);
  const options = { clock: systemClock, connectTimeoutMs: 1000, idleMs: 4000, maxConnections: 2 };
  const channel = new Channel(server.address, options);
  t.teardown(() => {
    channel.close();
    server.close();
  });
  return channel;
}

/** Calls that take longer than what was written before needs to arrive. */
const CALLS = 10;

/** Resolves when what other connections have sent has arrived. */
async function passTime(t: { teardown(act: () => void): void }): Promise<void> {
  const channel = await openTo(t, (socket) => socket.end(`${OK}Content-Length: 0\r\n\r\n`));
  for (let call = 0; call < CALLS; call += 1) {
    await new Promise<void>((resolve) => {
      const end = () => resolve();
      channel.send(CALL, { head() {}, data: () => true, end, failed: end });
    });
  }
}

/** Closes the server's side of a connection with a reset, or without one. */
const CLOSES: Readonly<Record<string, (socket: Socket) => void>> = {
  'is reset': (socket) => socket.resetAndDestroy(),
  ends: (socket) => socket.end(),
};

// Guards against an assertion of the parser's client that ends the process: an answer that closes its connection is cut
// while the pacer has the parser paused.
test('a reset while small chunks wait for their turn fails the answer', async (t) => {
  let peer: Socket | undefined;
  const channel = await openTo(t, (socket) => {
    peer = socket;
    socket.write(`${OK}Connection: close\r\n${CHUNKED}${SMALL_CHUNKS}`);
  });
  const { outcome } = ask(channel, () => {
    peer?.resetAndDestroy();
    return true;
  });
  t.not(await outcome, 'end');
});

// Guards against the same assertion at the end of a connection.
test('a connection that ends while small chunks wait for their turn fails the answer', async (t) => {
  const channel = await openTo(t, (socket) => {
    socket.end(`${OK}Connection: close\r\n${CHUNKED}${ONE_TURN}`);
  });
  const { outcome } = ask(channel, () => true);
  t.not(await outcome, 'end');
});

for (const [name, close] of Object.entries(CLOSES)) {
  // Guards against the same assertion while the receiver has paused the answer, as a slow caller does.
  test(`a cut answer that its receiver has paused fails when its connection ${name}`, async (t) => {
    let peer: Socket | undefined;
    const channel = await openTo(t, (socket) => {
      peer = socket;
      socket.write(`${OK}Connection: close\r\nContent-Length: 3000\r\n\r\n${FIRST}`);
    });
    let isFull = false;
    const { outcome, resume } = ask(channel, () => {
      if (isFull) return true;
      isFull = true;
      peer?.write(FIRST, () => {
        void passTime(t)
          .then(() => close(peer!))
          .then(() => passTime(t))
          .then(resume);
      });
      return false;
    });
    t.is(await outcome, 'connection-lost');
  });
}

/** Heads of a whole answer of twice `FIRST` whose connection ends after it. */
const ENDING: Readonly<Record<string, string>> = {
  'a length that closes its connection': `${OK}Connection: close\r\nContent-Length: 2000\r\n\r\n`,
  'a length that keeps its connection': `${OK}Content-Length: 2000\r\n\r\n`,
  'no length': `${OK}\r\n`,
};

for (const [name, head] of Object.entries(ENDING)) {
  // Guards against a whole answer that is reported as cut, or ends the process, as its connection ends while the receiver
  // has it paused.
  test(`an answer of ${name} is whole although its receiver has paused it`, async (t) => {
    let peer: Socket | undefined;
    const channel = await openTo(t, (socket) => {
      peer = socket;
      socket.write(head + FIRST);
    });
    let bytes = 0;
    let isFull = false;
    let isResumed = false;
    const { outcome, resume } = ask(channel, (part) => {
      bytes += part.length;
      if (!isFull) {
        isFull = true;
        peer?.end(FIRST, () => {
          void passTime(t).then(() => {
            isResumed = true;
            resume();
          });
        });
      }
      return isResumed;
    });
    t.is(await outcome, 'end');
    t.is(bytes, 2 * FIRST.length);
  });
}

// Guards against an answer whose last chunk has arrived and is discarded, as its server is gone while the pacer has the
// parser paused: the request would run twice, or fail.
test('a whole answer in small chunks that was read before a reset is whole', async (t) => {
  let peer: Socket | undefined;
  const channel = await openTo(t, (socket) => {
    peer = socket;
    socket.write(`${OK}${CHUNKED}${SMALL_CHUNKS}0\r\n\r\n`);
  });
  let bytes = 0;
  const { outcome } = ask(channel, (part) => {
    bytes += part.length;
    peer?.resetAndDestroy();
    return true;
  });
  t.is(await outcome, 'end');
  t.is(bytes, 2000);
});

// Guards against a request that its deadline ends although its answer has arrived: deadlines wait for what sockets hold.
test('a whole answer in small chunks that has arrived is read before a deadline acts', async (t) => {
  const channel = await openTo(t, (socket) => {
    socket.write(`${OK}${CHUNKED}${SMALL_CHUNKS}0\r\n\r\n`);
  });
  let bytes = 0;
  let bytesAtDeadline: number | undefined;
  const { outcome } = ask(channel, (part) => {
    if (bytes === 0) {
      afterReads(systemClock, () => {
        bytesAtDeadline = bytes;
      });
    }
    bytes += part.length;
    return true;
  });
  t.is(await outcome, 'end');
  t.is(bytesAtDeadline ?? bytes, 2000);
});
