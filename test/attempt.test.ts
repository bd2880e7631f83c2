import test from 'ava';
import type { UpstreamId } from '../src/base/index.js';
import {
  finalRefusal,
  startAttempt,
  stepAttempt,
  type AttemptEvent,
  type AttemptState,
} from '../src/core/attempt/index.js';
import { refuse } from '../src/core/refusal/index.js';
import { Executed } from '../src/wire/index.js';
import { session } from './support/session.js';

const UNKNOWN = { executed: Executed.EXECUTED_UNKNOWN };
const full = refuse('queue-full', 'Full.', { retryAfterMs: 100 });
const cut = refuse('upstream-cut', 'Cut.', UNKNOWN);

function begin(more: Partial<AttemptState> = {}): AttemptState {
  const start = { repeatable: true, bound: false, deadlineAtMs: 1000, ...more };
  return startAttempt(start, 0).state;
}

function chosen(name: string): AttemptEvent {
  return { type: 'chosen', upstream: name as UpstreamId };
}

function runSession(
  t: Parameters<typeof session>[0],
  name: string,
  events: readonly AttemptEvent[],
) {
  const happenings = events.map((event, index) => ({ atMs: index * 10, event }));
  return (start: AttemptState) => session(t, name, stepAttempt, start, happenings);
}

test('golden: a refused request is sent to another upstream and answered there', (t) => {
  const events: AttemptEvent[] = [
    chosen('a'),
    { type: 'refused', refusal: full },
    chosen('b'),
    { type: 'started' },
    { type: 'passed' },
    { type: 'whole' },
  ];
  t.is(runSession(t, 'attempt-refused', events)(begin()).phase, 'done');
});

test('golden: an interrupted stream is continued elsewhere, but fails if the next one is not continuable', (t) => {
  const events: AttemptEvent[] = [
    chosen('a'),
    { type: 'started' },
    { type: 'passed' },
    { type: 'broken', refusal: cut, continuable: true },
    chosen('b'),
    { type: 'refused', refusal: full },
    chosen('c'),
    { type: 'started' },
    { type: 'broken', refusal: cut, continuable: false },
  ];
  t.is(runSession(t, 'attempt-continue', events)(begin()).phase, 'failed');
});

test('golden: a non-repeatable request is not sent again once it may have run', (t) => {
  const events: AttemptEvent[] = [
    chosen('a'),
    { type: 'refused', refusal: full },
    chosen('b'),
    { type: 'broken', refusal: cut, continuable: false },
  ];
  t.is(runSession(t, 'attempt-once', events)(begin({ repeatable: false })).phase, 'failed');
});

test('golden: a request bound by a ticket is retried at its upstream, and only if there was no answer', (t) => {
  const events: AttemptEvent[] = [
    chosen('a'),
    { type: 'broken', refusal: cut, continuable: false },
    chosen('a'),
    { type: 'refused', refusal: full },
  ];
  const start = begin({ repeatable: false, bound: true });
  t.is(runSession(t, 'attempt-bound', events)(start).phase, 'failed');
});

test('golden: if no other upstream is left, one that failed the request is tried once more', (t) => {
  const none = refuse('no-upstream', 'None left.');
  const events: AttemptEvent[] = [
    chosen('a'),
    { type: 'broken', refusal: cut, continuable: false },
    { type: 'unchosen', refusal: none },
    chosen('a'),
    { type: 'broken', refusal: cut, continuable: false },
    { type: 'unchosen', refusal: none },
  ];
  t.is(runSession(t, 'attempt-again', events)(begin()).phase, 'failed');
});

test('golden: an upstream that refused the request is not tried again', (t) => {
  const events: AttemptEvent[] = [
    chosen('a'),
    { type: 'refused', refusal: full },
    { type: 'unchosen', refusal: refuse('no-upstream', 'None left.') },
  ];
  t.is(runSession(t, 'attempt-refused-last', events)(begin()).phase, 'failed');
});

test('golden: when the caller disconnects the attempt is cancelled, and later events are ignored', (t) => {
  const events: AttemptEvent[] = [
    chosen('a'),
    { type: 'started' },
    { type: 'gone' },
    { type: 'whole' },
    { type: 'refused', refusal: full },
  ];
  t.is(runSession(t, 'attempt-gone', events)(begin()).phase, 'gone');
});

test('golden: no retry is made after the deadline', (t) => {
  const events: AttemptEvent[] = [chosen('a'), { type: 'refused', refusal: full }];
  t.is(runSession(t, 'attempt-late', events)(begin({ deadlineAtMs: 5 })).phase, 'failed');
});

test('a request that expires before it was sent is reported as not executed', (t) => {
  const refusal = refuse('entry-leaving', 'Leaving.', UNKNOWN);
  const { effects } = stepAttempt(begin(), { type: 'expired', refusal }, 0);
  t.like(effects[1], { type: 'fail', refusals: [{ executed: Executed.EXECUTED_NO }] });
});

test('the final refusal says "not executed" only if no attempt can have run', (t) => {
  t.is(finalRefusal([full, full]).executed, Executed.EXECUTED_NO);
  t.is(finalRefusal([cut, full]).executed, Executed.EXECUTED_UNKNOWN);
  t.is(finalRefusal([cut, full]).type, 'queue-full');
});
