import test from 'ava';
import type { RequestId, ServiceId } from '../src/base/index.js';
import { OriginTable } from '../src/direct/origin/origintable.js';

const LONGEST_MS = 2 ** 31 - 1;
const AFTER_MS = 600_001;

// Guards against a record of another writer that is kept for weeks, and before which no expired record is evicted.
test('an origin is kept for ten minutes at most, whatever its record says', (t) => {
  const table = new OriginTable();
  const origin = { service: 's' as ServiceId, softwareVersion: 'v1', weightsVersion: undefined };
  const id = 'r1' as RequestId;
  table.put({ id, origin, sequence: 1, keepMs: LONGEST_MS }, 0);
  t.truthy(table.get(id, AFTER_MS - 2));
  t.is(table.get(id, AFTER_MS), undefined);
  table.put({ id: 'r2' as RequestId, origin, sequence: 1, keepMs: 1 }, AFTER_MS);
  t.is(table.size, 1);
});
