import test from 'ava';
import type { RequestId } from '../src/base/index.js';
import { HttpService } from '../src/shell/engine/index.js';
import { RawServer } from './support/rawserver.js';

const BODY_BYTES = 200_000;
const HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const CALL = {
  requestId: 'r1' as RequestId,
  method: 'GET',
  path: '/',
  headers: [],
  body: Buffer.alloc(0),
};

function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** A body whose bytes tell their order. */
const body = Buffer.from(Array.from({ length: BODY_BYTES }, (_, at) => 97 + (at % 23)));

/** Guards against bytes that are lost, doubled or reordered when the parser pauses and goes on. */
for (const [name, chunkBytes] of [
  ['one byte', 1],
  ['1,000 bytes', 1000],
  ['the whole body', BODY_BYTES],
] as const) {
  test(`an answer in chunks of ${name} arrives whole at a reader that pauses`, async (t) => {
    let text = '';
    for (let at = 0; at < BODY_BYTES; at += chunkBytes) {
      const chunk = body.toString('latin1', at, at + chunkBytes);
      text += `${chunk.length.toString(16)}\r\n${chunk}\r\n`;
    }
    const server = await RawServer.listen((socket) => socket.write(`${HEAD}${text}0\r\n\r\n`));
    const service = new HttpService(`http://${server.address}`, 1);
    t.teardown(() => server.close());
    const answer = await service.call(CALL, new AbortController().signal);
    const pieces: Buffer[] = [];
    for await (const piece of answer.unwrap().pieces) {
      pieces.push(piece.unwrap().payload);
      await nextTurn();
    }
    t.true(Buffer.concat(pieces).equals(body));
    await service.close();
  });
}

test('a request that is cancelled while the parser pauses closes its connection', async (t) => {
  const server = await RawServer.listen((socket) => {
    socket.write(`${HEAD}${'1\r\nx\r\n'.repeat(BODY_BYTES)}`);
  });
  const service = new HttpService(`http://${server.address}`, 1);
  t.teardown(() => server.close());
  const cancelling = new AbortController();
  const answer = await service.call(CALL, cancelling.signal);
  const ends: boolean[] = [];
  for await (const piece of answer.unwrap().pieces) {
    ends.push(piece.ok);
    cancelling.abort();
  }
  await server.allClosed();
  t.false(ends.at(-1));
  await service.close();
});
