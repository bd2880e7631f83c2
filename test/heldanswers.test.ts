import test from 'ava';
import { ChargedBuffer } from '../src/core/bodybuffer/index.js';
import { EventSplitter } from '../src/core/eventstream/index.js';
import { Reply } from '../src/direct/run/reply.js';

type Head = Parameters<Reply['take']>[0];

const BLOCK_BYTES = 65_536;
const BYTE = Buffer.from('x');
const PLAIN = { isStream: false, isResumable: false, origin: undefined };

function headOf(status: number, type = 'text/plain'): Head {
  const headers = ['content-type', type];
  return { status, headers, isNotRun: false, hasLength: false } as unknown as Head;
}

/** Returns a reply, and what its caller is sent. */
function createReply(): { reply: Reply; writes: Buffer[]; ends: number[] } {
  const writes: Buffer[] = [];
  const ends: number[] = [];
  const caller = {
    request: {},
    begin: () => undefined,
    write: (chunk: Buffer) => writes.push(chunk) > 0,
    end: () => ends.push(writes.length),
  };
  return { reply: new Reply(caller as never, () => undefined), writes, ends };
}

// Kept piece by piece, an answer took a hundred bytes or more of memory for each of its bytes.
test('an answer that arrives byte by byte is kept and passed on in blocks', (t) => {
  const { reply, writes, ends } = createReply();
  reply.take(headOf(200), PLAIN);
  for (let at = 0; at < 100_000; at += 1) reply.data(BYTE);
  t.is(writes.length, 0);
  reply.end();
  t.is(writes.length, 1);
  t.is(writes[0]!.length, 100_000);
  t.is(ends.length, 1);
});

test('a large answer that arrives byte by byte is passed on in blocks up to its bound', (t) => {
  const { reply, writes } = createReply();
  reply.take(headOf(200), PLAIN);
  for (let at = 0; at < 262_145; at += 1) reply.data(BYTE);
  t.deepEqual(
    writes.map(({ length }) => length),
    [262_144, 1],
  );
});

test('the memory of an incomplete event that arrives byte by byte follows its length', (t) => {
  let heldBytes = 0;
  const splitter = new EventSplitter(undefined, (bytes) => {
    heldBytes += bytes;
  });
  for (let at = 0; at < 100_000; at += 1) splitter.split(BYTE);
  t.true(heldBytes >= 100_000 && heldBytes <= 100_000 + BLOCK_BYTES, `${heldBytes}`);
  t.is(splitter.split(Buffer.from('\n\n'))?.payload.length, 100_002);
  t.is(heldBytes, 0);
});

test('an event larger than an event can be is given up, and nothing of it is passed on', (t) => {
  const splitter = new EventSplitter();
  for (let at = 0; at < 5; at += 1) t.is(splitter.split(Buffer.alloc(BLOCK_BYTES, 'x')), undefined);
  t.true(splitter.isEventTooLarge);
  t.is(splitter.split(Buffer.from('x\n\ndata: y\n\n')), undefined);
});

test('what a buffer charges is what it keeps, and is given back when it is taken or cleared', (t) => {
  for (const empty of ['take', 'clear'] as const) {
    let chargedBytes = 0;
    const buffer = new ChargedBuffer(1_000_000, (bytes) => {
      chargedBytes += bytes;
    });
    for (let time = 0; time < 3; time += 1) {
      for (let at = 0; at < 10_000; at += 1) buffer.add(Buffer.from('abc'));
      t.is(buffer.sizeBytes, 30_000);
      t.is(chargedBytes, buffer.capacityBytes);
      buffer[empty]();
      t.is(chargedBytes, 0);
      t.is(buffer.sizeBytes, 0);
    }
  }
});
