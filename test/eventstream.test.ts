import test from 'ava';
import fc from 'fast-check';
import {
  dataOf,
  EventReader,
  EventSplitter,
  eventsOf,
  idOf,
} from '../src/core/eventstream/index.js';

/** Parts of streams whose order and chunks are varied. */
const PARTS = [
  'id: 1',
  'id:2',
  'id',
  'id:',
  'id: 3\0',
  'identity: 4',
  ' id: 5',
  'data: id: 6',
  'data',
  'data: [DONE]',
  'data:[DONE]',
  ': id: 7',
  'event: id',
  'é',
  '\n',
  '\n',
  '\r',
  '\r\n',
  '\n\n',
  '\r\n\r\n',
  '\r\r',
] as const;

/** Reads a whole stream by a regular expression. */
function readWhole(text: string) {
  let position: string | undefined;
  let eventCount = 0;
  let lines: string[] = [];
  for (const line of text.split(/\r\n|\n|\r/).slice(0, -1)) {
    if (line !== '') {
      lines.push(line);
    } else {
      const fields = lines.map((field) => /^([^:]*)(?:: ?(.*))?$/s.exec(field)!);
      const values = (name: string) =>
        fields.filter((field) => field[1] === name).map((field) => field[2] ?? '');
      const data = values('data');
      const ids = values('id').filter((id) => !id.includes('\0'));
      const isDone = data.length === 1 && data[0] === '[DONE]';
      if (data.length > 0 && !isDone) eventCount += 1;
      if (ids.length > 0) position = ids.at(-1) || undefined;
      else if (data.length > 0 && !isDone) position = undefined;
      lines = [];
    }
  }
  return { position, eventCount };
}

const stream = fc
  .array(fc.constantFrom(...PARTS), { maxLength: 30 })
  .map((parts) => Buffer.from(parts.join('')));

test('a stream is read alike in whatever chunks it arrives', (t) => {
  const cases = fc.property(stream, fc.array(fc.nat(8), { maxLength: 60 }), (bytes, sizes) => {
    const reader = new EventReader();
    const splitter = new EventSplitter();
    const payloads: Buffer[] = [];
    let at = 0;
    for (const size of [...sizes, bytes.length]) {
      const chunk = bytes.subarray(at, at + size);
      at += size;
      reader.read(chunk);
      const piece = splitter.split(chunk);
      if (piece) payloads.push(piece.payload);
    }
    const whole = readWhole(bytes.toString('latin1'));
    t.deepEqual({ position: reader.position, eventCount: reader.eventCount }, whole);
    const passed = Buffer.concat(payloads);
    t.true(bytes.subarray(0, passed.length).equals(passed));
    t.is(passed.length === bytes.length, !reader.isInsideEvent);
  });
  fc.assert(cases, { numRuns: 3000, seed: 74 });
});

test('events are read by their lines', (t) => {
  const payload = Buffer.from('id: 1\r\ndata: {\rdata:}\n\n: id: 2\n\n\ndata: a\u2028b\nid: 3\n\n');
  const events = eventsOf(payload);
  t.deepEqual(events.map(idOf), ['1', undefined, '3']);
  t.deepEqual(events.map(dataOf), ['{\n}', undefined, 'a\u2028b']);
});

test('an id that no header can hold is no position to continue from', (t) => {
  for (const id of ['a\u0001', 'x'.repeat(2000), 'x'.repeat(5000)]) {
    const reader = new EventReader();
    for (const half of [`id: ${id}`, '\ndata: a\n\n']) reader.read(Buffer.from(half));
    t.is(reader.position, undefined);
  }
});

test('the closing event leaves the position as it was', (t) => {
  const reader = new EventReader();
  reader.read(Buffer.from('id: 7\ndata: a\n\ndata: [DONE]\n\n'));
  t.is(reader.position, '7');
  t.true(reader.isDone);
});

test('a byte order mark is no part of the first line', (t) => {
  const reader = new EventReader();
  for (const byte of Buffer.from('\ufeffid: 1\ndata: a\n\n')) reader.read(Buffer.of(byte));
  t.is(reader.position, '1');
});
