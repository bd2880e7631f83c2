import test from 'ava';
import { decodeSharedParts } from '../platform/decodesharedparts.js';

test('the parts that requests may share are all but the last one', (t) => {
  t.deepEqual(decodeSharedParts('5C1e07a2:800,91bd3f06:410, e4402b7d:250') as readonly string[], [
    '5c1e07a2',
    '91bd3f06',
  ]);
  t.deepEqual(decodeSharedParts('aa:1,aa:1,bb:2') as readonly string[], ['aa']);
  t.deepEqual(decodeSharedParts('aa:1'), []);
  t.deepEqual(decodeSharedParts(undefined), []);
});

test('a malformed list of parts has no shared parts', (t) => {
  for (const header of [
    '',
    ',',
    'aa:1,',
    'aa:1,bb',
    'xx:1,bb:2',
    'aa:-1,bb:2',
    'aa,bb:2',
    ':1,b:2',
  ]) {
    t.deepEqual(decodeSharedParts(header), [], header);
  }
});

test('the number of shared parts of one request is bounded', (t) => {
  const header = Array.from({ length: 5000 }, (_, at) => `${at.toString(16)}:1`).join(',');
  t.true(decodeSharedParts(header).length <= 16);
});
