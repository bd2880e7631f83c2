import test from 'ava';
import {
  headOf,
  leave,
  offer,
  queueRules,
  recordSend,
  returnInMs,
  review,
  startQueue,
  wouldOvertake,
  type QueueRequest,
  type QueueState,
} from '../src/core/admissionqueue/index.js';
import { spreadRetryAfterMs } from '../src/core/retryafter/index.js';

const TARGET = 's/m/';

function requestOf(id: string, given: Partial<QueueRequest> = {}): QueueRequest {
  const arrivedAtMs = given.arrivedAtMs ?? 0;
  return {
    id,
    target: TARGET,
    service: 's',
    rank: 3,
    customer: 'a',
    arrivedAtMs,
    refusableUntilMs: arrivedAtMs + 100,
    dueAtMs: arrivedAtMs + 400,
    untilMs: arrivedAtMs + 1500,
    tokens: 10,
    sizeBytes: 1,
    isReturn: true,
    ...given,
  };
}

function add(state: QueueState, id: string, given: Partial<QueueRequest> = {}, nowMs = 0) {
  return offer(state, requestOf(id, given), true, nowMs);
}

/** Sends the waiting requests in order and returns their ids. */
function drain(state: QueueState, nowMs: number): string[] {
  const ids: string[] = [];
  for (let head = headOf(state, TARGET, nowMs); head; head = headOf(state, TARGET, nowMs)) {
    const { request } = head;
    ids.push(request.id);
    recordSend(state, request, true, nowMs);
    leave(state, request.id, nowMs);
  }
  return ids;
}

// Guards against an order in which lateness or usage comes before priority.
test('the order is priority, then whether a request can be on time, then when it is due', (t) => {
  const state = startQueue();
  add(state, 'late', { dueAtMs: 5 });
  add(state, 'second', { dueAtMs: 300 });
  add(state, 'first', { dueAtMs: 200 });
  add(state, 'urgent-late', { rank: 1, dueAtMs: 5 });
  add(state, 'less', { rank: 5, dueAtMs: 100 });
  t.deepEqual(drain(state, 10), ['urgent-late', 'first', 'second', 'late', 'less']);
});

// Guards against shares by requests: a customer with long prompts would get more of the capacity.
test('customers get equal shares of tokens, not of requests', (t) => {
  const state = startQueue();
  for (let at = 0; at < 60; at += 1) {
    add(state, `long-${at}`, { customer: 'long', tokens: 40, dueAtMs: 400 + at });
    add(state, `short-${at}`, { customer: 'short', tokens: 10, dueAtMs: 400 + at });
  }
  const ids = drain(state, 10).slice(0, 50);
  const count = (name: string) => ids.filter((id) => id.startsWith(name)).length;
  t.true(Math.abs(count('long') * 40 - count('short') * 10) <= 40);
});

// Guards against usage that is never forgotten: a customer would pay for a burst long after it.
test('a customer that has used nothing for some seconds has no disadvantage', (t) => {
  const state = startQueue();
  recordSend(state, requestOf('x', { customer: 'b', tokens: 1e4 }), false, 0);
  recordSend(state, requestOf('y', { customer: 'c', tokens: 10 }), false, 29_000);
  add(state, 'c', { customer: 'c', arrivedAtMs: 30_000 }, 30_000);
  add(state, 'b', { customer: 'b', arrivedAtMs: 30_000 }, 30_000);
  t.deepEqual(drain(state, 30_000), ['b', 'c']);
});

// Guards against starvation of a less urgent request that can still be on time.
test('a request counts as one priority more urgent after the aging time', (t) => {
  const { agingMs } = queueRules;
  const long = { dueAtMs: 10_000, untilMs: 20_000 };
  const state = startQueue();
  add(state, 'old', { rank: 5, ...long });
  const before = agingMs - 1;
  add(state, 'new', { rank: 3, arrivedAtMs: before, dueAtMs: 20_000 }, before);
  t.is(headOf(state, TARGET, before)!.request.id, 'new');
  t.deepEqual(drain(state, agingMs + 1), ['old', 'new']);
});

// Guards against a new request that takes the slot of a waiting one.
test('a new request overtakes only less urgent ones, or those of customers with more usage', (t) => {
  const state = startQueue();
  t.false(wouldOvertake(state, requestOf('x'), 0));
  add(state, 'waiting', { customer: 'a' });
  t.true(wouldOvertake(state, requestOf('later', { dueAtMs: 500 }), 0));
  t.true(wouldOvertake(state, requestOf('less', { rank: 5 }), 0));
  t.false(wouldOvertake(state, requestOf('urgent', { rank: 1 }), 0));
  recordSend(state, requestOf('sent', { customer: 'a' }), false, 0);
  t.false(wouldOvertake(state, requestOf('b', { customer: 'b', dueAtMs: 500 }), 0));
});

// Guards against first tries that wait until a refusal is of no use, and against refusals of returns.
test('without admissions a first try is refused in its first quarter, a return is not', (t) => {
  const state = startQueue();
  add(state, 'return', { dueAtMs: 150 });
  for (let at = 0; at < 10; at += 1) {
    add(state, `first-${at}`, { isReturn: false, dueAtMs: 150 + at });
  }
  const refused = new Set<string>();
  for (let nowMs = 20; nowMs <= 100; nowMs += 20) {
    for (const { request, reason } of review(state, () => true, nowMs)) {
      t.is(reason, 'late');
      refused.add(request.id);
    }
  }
  t.false(refused.has('return'));
  t.is(refused.size, 10);
  t.deepEqual(
    review(state, () => true, 1500).map(({ reason }) => reason),
    ['hopeless'],
  );
  t.is(state.waiting.size, 0);
});

// Guards against refusals by a forecast from before slots became free.
test('a forecast refuses nothing unless the target has just been found without a free slot', (t) => {
  const state = startQueue();
  for (let at = 0; at < 10; at += 1) add(state, `first-${at}`, { isReturn: false });
  for (let nowMs = 20; nowMs <= 100; nowMs += 20) t.is(review(state, () => false, nowMs).length, 0);
});

// Guards against a forecast that ignores the slots which more urgent requests will take.
test('the expected start follows the rate of admissions that is left for a rank', (t) => {
  const state = startQueue();
  add(state, 'head', { untilMs: 1e6, dueAtMs: 1e6 });
  for (let nowMs = 10; nowMs <= 5000; nowMs += 10) {
    const rank = (nowMs / 10) % 2 === 0 ? 1 : 3;
    recordSend(state, requestOf(`s${nowMs}`, { rank }), true, nowMs);
  }
  const late = { isReturn: false, refusableUntilMs: 6000, dueAtMs: 5000, arrivedAtMs: 5000 };
  const [urgent] = add(state, 'urgent', { ...late, rank: 1 }, 5000);
  const [middle] = add(state, 'middle', { ...late, dueAtMs: 5001 }, 5000);
  // 100 slots per second become free, half of them for the more urgent rank. The return is ahead of both.
  t.true(Math.abs(urgent!.expectedStartMs - 5020) < 2);
  t.true(Math.abs(middle!.expectedStartMs - 5040) < 10);
});

// Guards against a queue without bound, and against the loss of a request that should be kept.
test('a full queue refuses its last request in order', (t) => {
  const state = startQueue();
  add(state, 'last', { rank: 9, target: 's/other/' });
  for (let at = 1; at < queueRules.maxRequests; at += 1) add(state, `r${at}`);
  t.is(state.waiting.size, queueRules.maxRequests);
  const refused = add(state, 'more');
  t.deepEqual(
    refused.map(({ request, reason }) => [request.id, reason]),
    [['last', 'full']],
  );
  const large = add(state, 'large', { rank: 1, sizeBytes: queueRules.maxBytes });
  t.true(large.length > 0);
  t.true(state.sizeBytes <= queueRules.maxBytes);
});

// Guards against returns that are not recognised, that come at the same time, or later than callers accept.
test('the retry-after time is the forecast within the bounds that callers accept', (t) => {
  const refusal = (expectedStartMs: number) =>
    ({ request: requestOf('x'), reason: 'late', ahead: 1, expectedStartMs }) as const;
  for (const place of [0, 0.3, 0.7, 1]) {
    const leastMs = spreadRetryAfterMs(10_000, place);
    t.is(returnInMs(refusal(0), 10_000, place, 0), leastMs);
    t.true(returnInMs(refusal(2900), 10_000, place, 0) >= Math.max(leastMs, 2500));
    const latestMs = returnInMs(refusal(1e6), 10_000, place, 0);
    t.true(latestMs >= leastMs && latestMs <= 3300);
  }
  t.not(returnInMs(refusal(1e6), 10_000, 0, 0), returnInMs(refusal(1e6), 10_000, 1, 0));
});

// Guards against entries of heaps that outlive their requests in a flood of short waits.
test('requests that have left are not kept', (t) => {
  const state = startQueue();
  for (let at = 0; at < 5000; at += 1) {
    add(state, `r${at}`);
    leave(state, `r${at}`, 0);
  }
  t.true(state.changes.size <= 65 && state.reviews.size <= 65);
  t.is(state.sizeBytes, 0);
});
