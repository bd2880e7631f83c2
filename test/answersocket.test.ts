import test from 'ava';
import { AnswerSocket } from '../src/shell/http1/answersocket.js';
import { flood } from './support/flood.js';
import { RawServer } from './support/rawserver.js';

const HEAD = { head: 'HTTP/1.1 200 OK\r\n', piece: 'A: b\r\n' };
/** Largest head that an upstream may send. */
const MAX_HEAD_BYTES = 65_536;
const SLICE_BYTES = 8192;

function closed(socket: AnswerSocket): Promise<void> {
  return new Promise((resolve) => {
    socket.once('close', () => resolve());
  });
}

async function connectTo(t: { teardown(act: () => void): void }): Promise<AnswerSocket> {
  const server = await RawServer.listen((peer) => flood(peer, HEAD));
  const socket = new AnswerSocket();
  t.teardown(() => {
    socket.destroy();
    server.close();
  });
  socket.on('error', () => undefined);
  socket.connect(Number(server.address.split(':')[1]), '127.0.0.1', () => socket.write('GET'));
  return socket;
}

test('header fields without end do not reach the parser beyond the largest head', async (t) => {
  const socket = await connectTo(t);
  let takenBytes = 0;
  socket.on('readable', () => {
    for (let bytes = socket.read(); bytes; bytes = socket.read()) takenBytes += bytes.length;
  });
  await closed(socket);
  t.is(takenBytes, MAX_HEAD_BYTES);
});

test('what a paused parser has left neither counts nor lets more be read', async (t) => {
  const socket = await connectTo(t);
  let mostWaiting = 0;
  let partCount = 0;
  const parse = () => {
    const bytes = socket.read();
    if (!bytes) return;
    partCount += 1;
    socket.progress(1);
    socket.unshift(bytes.subarray(1));
    mostWaiting = Math.max(mostWaiting, socket.readableLength);
    if (partCount > MAX_HEAD_BYTES) socket.destroy();
    else setImmediate(parse);
  };
  socket.once('readable', parse);
  await closed(socket);
  t.true(partCount > MAX_HEAD_BYTES);
  t.true(mostWaiting <= 2 * MAX_HEAD_BYTES + SLICE_BYTES, `${mostWaiting}`);
});
