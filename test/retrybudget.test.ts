import test from 'ava';
import fc from 'fast-check';
import { RetryBudget, type Retry } from '../src/core/retrybudget/index.js';

const LIMITS = { windowMs: 1000, ratio: 0.2, slack: () => 3 };

/** Counts the times after `fromMs` up to `toMs`. */
function countBetween(times: readonly number[], fromMs: number, toMs: number): number {
  return times.filter((atMs) => atMs > fromMs && atMs <= toMs).length;
}

/** For a longer run: PROPERTY_RUNS=100000 npx ava dist/test/retrybudget.test.js. */
const RUNS = Number(process.env.PROPERTY_RUNS ?? 500);

const steps = fc.array(
  fc.record({
    afterMs: fc.nat(300),
    kind: fc.constantFrom('request', 'request', 'retry', 'reserve', 'send', 'withhold', 'cancel'),
  }),
  { maxLength: 200, size: 'max' },
);
type Steps = typeof steps extends fc.Arbitrary<infer Value> ? Value : never;

/** Plays steps and returns when requests arrived and when retries were sent and not withheld. */
function play(budget: RetryBudget, taken: Steps): { requests: number[]; retries: number[] } {
  const requests: number[] = [];
  const sent: { readonly atMs: number; readonly retry: Retry }[] = [];
  const waiting: Retry[] = [];
  let nowMs = 0;
  const send = (retry: Retry | undefined) => {
    if (retry?.send(nowMs)) sent.push({ atMs: nowMs, retry });
    else retry?.cancel();
  };
  const acts: Readonly<Record<string, () => void>> = {
    request: () => {
      budget.request(nowMs);
      requests.push(nowMs);
    },
    retry: () => send(budget.reserve(nowMs)),
    reserve: () => {
      const retry = budget.reserve(nowMs);
      if (retry) waiting.push(retry);
    },
    send: () => send(waiting.shift()),
    withhold: () => {
      const last = sent.pop();
      last?.retry.withhold();
      if (last) waiting.push(last.retry);
    },
    cancel: () => waiting.shift()?.cancel(),
  };
  for (const { afterMs, kind } of taken) {
    nowMs += afterMs;
    acts[kind]!();
  }
  return { requests, retries: sent.map(({ atMs }) => atMs) };
}

/** True if the retries that a budget allows stay within the bound in every window. */
function holds(budget: RetryBudget, taken: Steps): boolean {
  const { requests, retries } = play(budget, taken);
  for (const atMs of retries) {
    const fromMs = atMs - LIMITS.windowMs;
    const before = countBetween(requests, fromMs - LIMITS.windowMs, atMs);
    const now = countBetween(retries, fromMs, atMs);
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
  for (let at = 0; at < 3; at += 1) t.true(budget.reserve(at)!.send(at));
  t.is(budget.reserve(3), undefined);
  t.true(budget.reserve(1001)!.send(1001));
});

test('a retry that is reserved and not sent counts, and is returned when it is cancelled', (t) => {
  const budget = new RetryBudget(LIMITS);
  const reserved = [0, 1, 2].map((atMs) => budget.reserve(atMs)!);
  t.is(budget.reserve(5000), undefined);
  reserved[0]!.cancel();
  t.true(budget.reserve(5000)!.send(5000));
});
