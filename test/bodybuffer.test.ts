import test from 'ava';
import fc from 'fast-check';
import { BodyBuffer } from '../src/core/bodybuffer/index.js';

const BLOCK_BYTES = 65_536;

test('a body is the chunks it was read in, whatever their sizes', (t) => {
  const chunks = fc.array(fc.integer({ min: 0, max: 200_000 }), { maxLength: 20 });
  fc.assert(
    fc.property(chunks, fc.boolean(), (sizes, isDeclared) => {
      const parts = sizes.map((size, at) => Buffer.alloc(size, at + 1));
      const whole = Buffer.concat(parts);
      const body = new BodyBuffer(whole.length, isDeclared ? whole.length : undefined);
      for (const part of parts) t.true(body.add(part));
      t.true(body.capacityBytes <= whole.length + BLOCK_BYTES);
      t.true(body.take().equals(whole));
    }),
    { numRuns: 50 },
  );
});

test('the memory of a body of one-byte chunks follows its length', (t) => {
  const grown: number[] = [];
  const body = new BodyBuffer(1_000_000, undefined, (bytes) => grown.push(bytes));
  for (let at = 0; at < 100_000; at += 1) body.add(Buffer.from([at % 251]));
  t.is(body.sizeBytes, 100_000);
  t.true(body.capacityBytes <= 100_000 + BLOCK_BYTES);
  t.is(
    grown.reduce((sum, bytes) => sum + bytes, 0),
    body.capacityBytes,
  );
});

test('a body with a declared length takes no more than that', (t) => {
  const body = new BodyBuffer(1_000_000, 10);
  t.true(body.add(Buffer.from('0123')));
  t.true(body.add(Buffer.from('456789')));
  t.is(body.capacityBytes, 10);
  t.is(body.take().toString(), '0123456789');
});

test('a chunk beyond the limit is not added', (t) => {
  const body = new BodyBuffer(4, undefined);
  t.true(body.add(Buffer.from('abc')));
  t.false(body.add(Buffer.from('de')));
  t.is(body.take().toString(), 'abc');
});
