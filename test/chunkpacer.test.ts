import test from 'ava';
import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { ChunkPacer } from '../src/shell/callers/chunkpacer.js';

const CALLERS = 20;
const CHUNKS = 60_000;
/** A read of 64 KiB holds at most this many chunks of one byte. */
const CHUNKS_PER_READ = 10_923;
const BODY_BYTES = 16 * 1_048_576;
/** What may be read of a large body before it waits. */
const PER_TURN_BYTES = 262_144;

test('one connection with one-byte chunks is read per iteration of the event loop, and all bodies are read', async (t) => {
  const pacer = new ChunkPacer();
  const begun = new Set<object>();
  let endedCount = 0;
  let chunkCount = 0;
  let mostChunks = 0;
  const server = createServer((request, response) => {
    const countChunk = pacer.counter(request.socket);
    let ownCount = 0;
    request.on('data', ({ length }: Buffer) => {
      ownCount += 1;
      begun.add(request);
      if (begun.size === CALLERS) chunkCount += 1;
      countChunk(length);
    });
    request.on('end', () => {
      t.is(ownCount, CHUNKS);
      endedCount += 1;
      response.end();
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const body = Buffer.from(`${'1\r\nx\r\n'.repeat(CHUNKS)}0\r\n\r\n`);
  const head = 'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n';
  const sockets = Array.from({ length: CALLERS }, () => {
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(head);
      socket.write(body);
    });
    socket.resume();
    return socket;
  });
  while (endedCount < CALLERS) {
    await new Promise(setImmediate);
    mostChunks = Math.max(mostChunks, chunkCount);
    chunkCount = 0;
  }
  // One that resumes may be read in the iteration in which another one has begun to wait.
  t.true(mostChunks <= 3 * CHUNKS_PER_READ, `${mostChunks} chunks`);
  for (const socket of sockets) socket.destroy();
  server.close();
});

// Guards against iterations that take long for large bodies: connections wait to be accepted for as long.
test('few connections with large bodies are read per iteration of the event loop, and all bodies are read', async (t) => {
  const pacer = new ChunkPacer();
  const begun = new Set<object>();
  let endedCount = 0;
  let readBytes = 0;
  let mostBytes = 0;
  const server = createServer((request, response) => {
    const countChunk = pacer.counter(request.socket);
    let ownBytes = 0;
    request.on('data', ({ length }: Buffer) => {
      ownBytes += length;
      // What is read of a body before it is paced is not bounded.
      if (ownBytes > PER_TURN_BYTES) begun.add(request);
      if (begun.size === CALLERS) readBytes += length;
      countChunk(length);
    });
    request.on('end', () => {
      t.is(ownBytes, BODY_BYTES);
      endedCount += 1;
      response.end();
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const body = Buffer.alloc(BODY_BYTES);
  const head = `POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`;
  const sockets = Array.from({ length: CALLERS }, () => {
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(head);
      socket.write(body);
    });
    socket.resume();
    return socket;
  });
  while (endedCount < CALLERS) {
    await new Promise(setImmediate);
    mostBytes = Math.max(mostBytes, readBytes);
    readBytes = 0;
  }
  t.log(`${mostBytes} bytes`);
  t.true(mostBytes <= 3 * PER_TURN_BYTES, `${mostBytes} bytes`);
  for (const socket of sockets) socket.destroy();
  server.close();
});
