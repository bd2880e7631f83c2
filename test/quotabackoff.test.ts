import test from 'ava';
import { LocalBucket } from '../src/core/quota/index.js';

const LONGEST_MS = 2 ** 31 - 1;

// Guards against callers of one customer that are told the longest time for weeks after one answer.
test('a refusal names a time by the rate again once the longest retry-after time has passed', (t) => {
  const bucket = new LocalBucket();
  const quota = { unit: 'requests', ratePerS: 10, burst: 0, plainTokens: 1 } as const;
  bucket.onRefused(LONGEST_MS, 100, 0);
  t.is(bucket.retryAfterMs(1, quota, 20_000), 100);
});
