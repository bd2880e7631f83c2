import test from 'ava';
import fc from 'fast-check';
import { RetryBudget } from '../src/core/retrybudget/index.js';

const LIMITS = { windowMs: 1000, ratio: 0.2, slack: () => 3 };

function countAfter(times: readonly number[], fromMs: number): number {
  return times.filter((atMs) => atMs > fromMs).length;
}

/** For a longer run: PROPERTY_RUNS=100000 npx ava dist/test/retrybudget.test.js. */
const RUNS = Number(process.env.PROPERTY_RUNS ?? 500);

const steps = fc.array(fc.record({ afterMs: fc.nat(300), isRequest: fc.boolean() }), {
  maxLength: 200,
  size: 'max',
});
type Steps = typeof steps extends fc.Arbitrary<infer Value> ? Value : never;

/** True if the retries that a budget allows stay within the bound in every window. */
function holds(budget: RetryBudget, taken: Steps): boolean {
  const requests: number[] = [];
  const retries: number[] = [];
  let nowMs = 0;
  for (const { afterMs, isRequest } of taken) {
    nowMs += afterMs;
    if (isRequest) {
      budget.request(nowMs);
      requests.push(nowMs);
    } else if (budget.take(nowMs)) retries.push(nowMs);
    const before = countAfter(requests, nowMs - 2 * LIMITS.windowMs);
    const now = countAfter(retries, nowMs - LIMITS.windowMs);
    if (now > LIMITS.ratio * before + LIMITS.slack()) return false;
  }
  return true;
}

test('no window contains more retries than its requests and those of the window before it allow', (t) => {
  fc.assert(
    fc.property(steps, (taken) => holds(new RetryBudget(LIMITS), taken)),
    { numRuns: RUNS },
  );
  t.pass();
});

test('the property detects a budget whose slack each of several entries uses in full', (t) => {
  const whole = { ...LIMITS, slack: () => LIMITS.slack() * 5 };
  const found = fc.check(fc.property(steps, (taken) => holds(new RetryBudget(whole), taken)));
  t.true(found.failed);
});

test('a spent budget recovers after the window', (t) => {
  const budget = new RetryBudget(LIMITS);
  for (let at = 0; at < 3; at += 1) t.true(budget.take(at));
  t.false(budget.take(3));
  t.true(budget.take(1001));
});
