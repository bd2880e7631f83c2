import test from 'ava';
import { AnswerSocket } from '../src/shell/http1/answersocket.js';
import { flood } from './support/flood.js';
import { RawServer } from './support/rawserver.js';

const FIELDS = { head: 'HTTP/1.1 200 OK\r\n', piece: 'A: b\r\n' };
/** Largest head that an upstream may send. */
const MAX_HEAD_BYTES = 65_536;
/** Fewer than the framing that an answer with one byte of body for each of them may have. */
const PARTS = 20;

function closed(socket: AnswerSocket): Promise<void> {
  return new Promise((resolve) => {
    socket.once('close', () => resolve());
  });
}

async function connectTo(
  t: { teardown(act: () => void): void },
  endless: Parameters<typeof flood>[1],
): Promise<AnswerSocket> {
  const server = await RawServer.listen((peer) => flood(peer, endless));
  const socket = new AnswerSocket();
  t.teardown(() => {
    socket.destroy();
    server.close();
  });
  socket.on('error', () => undefined);
  socket.connect(Number(server.address.split(':')[1]), '127.0.0.1', () => socket.write('GET'));
  return socket;
}

/** Lines that a head may have. */
const MAX_LINES = 256;

/** Reads all that a socket hands out. Returns the number of bytes. */
async function readAll(socket: AnswerSocket): Promise<number> {
  let takenBytes = 0;
  socket.on('readable', () => {
    for (let bytes = socket.read(); bytes; bytes = socket.read()) takenBytes += bytes.length;
  });
  await closed(socket);
  return takenBytes;
}

test('a header field without end does not reach the parser beyond the largest head', async (t) => {
  const socket = await connectTo(t, { head: 'HTTP/1.1 200 OK\r\nA: ', piece: 'x' });
  t.is(await readAll(socket), MAX_HEAD_BYTES);
});

test('header fields without end do not reach the parser beyond the lines of a head', async (t) => {
  const socket = await connectTo(t, FIELDS);
  t.true((await readAll(socket)) <= MAX_LINES * FIELDS.piece.length);
});

test('a head with many lines of a body behind it is read', async (t) => {
  const socket = await connectTo(t, { head: 'HTTP/1.1 200 OK\r\nA: b\r\n\r\n', piece: '\n\n' });
  let takenBytes = 0;
  socket.on('readable', () => {
    for (let bytes = socket.read(); bytes; bytes = socket.read()) {
      takenBytes += bytes.length;
      socket.progress(bytes.length);
    }
    if (takenBytes > MAX_HEAD_BYTES) socket.destroy();
  });
  await closed(socket);
  t.true(takenBytes > MAX_HEAD_BYTES);
});

test('what waits while a socket is held neither counts as framing nor grows', async (t) => {
  const socket = await connectTo(t, { head: '', piece: 'x' });
  let mostWaiting = 0;
  let partCount = 0;
  socket.on('readable', () => {
    mostWaiting = Math.max(mostWaiting, socket.readableLength);
    const bytes = socket.read();
    if (!bytes) return;
    partCount += 1;
    socket.progress(1);
    socket.hold();
    if (partCount > PARTS) socket.destroy();
    else setImmediate(() => socket.release());
  });
  await closed(socket);
  t.true(partCount > PARTS);
  t.true(mostWaiting <= 2 * MAX_HEAD_BYTES, `${mostWaiting}`);
});
