import test from 'ava';
import fc from 'fast-check';
import { RetryBudget } from '../src/core/retrybudget/index.js';

const LIMITS = { windowMs: 1000, ratio: 0.2, slack: () => 3 };

function countAfter(times: readonly number[], fromMs: number): number {
  return times.filter((atMs) => atMs > fromMs).length;
}

test('in no window are there more repeats than its requests and those before it allow', (t) => {
  const step = fc.record({ afterMs: fc.nat(300), isRequest: fc.boolean() });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const budget = new RetryBudget(LIMITS);
      const requests: number[] = [];
      const repeats: number[] = [];
      let nowMs = 0;
      for (const { afterMs, isRequest } of steps) {
        nowMs += afterMs;
        if (isRequest) {
          budget.request(nowMs);
          requests.push(nowMs);
        } else if (budget.take(nowMs)) repeats.push(nowMs);
        const before = countAfter(requests, nowMs - 2 * LIMITS.windowMs);
        const now = countAfter(repeats, nowMs - LIMITS.windowMs);
        t.true(now <= LIMITS.ratio * before + LIMITS.slack());
      }
    }),
    { numRuns: 500 },
  );
  t.pass();
});

test('a spent budget comes back with time', (t) => {
  const budget = new RetryBudget(LIMITS);
  for (let at = 0; at < 3; at += 1) t.true(budget.take(at));
  t.false(budget.take(3));
  t.true(budget.take(1001));
});
