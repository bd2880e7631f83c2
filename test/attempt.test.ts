import test from 'ava';
import type { UpstreamId } from '../src/base/index.js';
import {
  conclude,
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

function play(t: Parameters<typeof session>[0], name: string, events: readonly AttemptEvent[]) {
  const happenings = events.map((event, index) => ({ atMs: index * 10, event }));
  return (start: AttemptState) => session(t, name, stepAttempt, start, happenings);
}

test('golden: a refused request goes elsewhere, and its answer is whole', (t) => {
  const events: AttemptEvent[] = [
    chosen('a'),
    { type: 'refused', refusal: full },
    chosen('b'),
    { type: 'started' },
    { type: 'passed' },
    { type: 'whole' },
  ];
  t.is(play(t, 'attempt-refused', events)(begin()).phase, 'done');
});

test('golden: a broken stream is continued, and a second break with nothing held ends it', (t) => {
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
  t.is(play(t, 'attempt-continue', events)(begin()).phase, 'failed');
});

test('golden: what may not be repeated is not sent again once it may have run', (t) => {
  const events: AttemptEvent[] = [
    chosen('a'),
    { type: 'refused', refusal: full },
    chosen('b'),
    { type: 'broken', refusal: cut, continuable: false },
  ];
  t.is(play(t, 'attempt-once', events)(begin({ repeatable: false })).phase, 'failed');
});

test('golden: a bound request is asked for again where it is bound, and only on silence', (t) => {
  const events: AttemptEvent[] = [
    chosen('a'),
    { type: 'broken', refusal: cut, continuable: false },
    chosen('a'),
    { type: 'refused', refusal: full },
  ];
  const start = begin({ repeatable: false, bound: true });
  t.is(play(t, 'attempt-bound', events)(start).phase, 'failed');
});

test('golden: with nobody else left, one that failed it is asked again, once', (t) => {
  const none = refuse('no-upstream', 'None left.');
  const events: AttemptEvent[] = [
    chosen('a'),
    { type: 'broken', refusal: cut, continuable: false },
    { type: 'unchosen', refusal: none },
    chosen('a'),
    { type: 'broken', refusal: cut, continuable: false },
    { type: 'unchosen', refusal: none },
  ];
  t.is(play(t, 'attempt-again', events)(begin()).phase, 'failed');
});

test('golden: one that refused it is not asked again', (t) => {
  const events: AttemptEvent[] = [
    chosen('a'),
    { type: 'refused', refusal: full },
    { type: 'unchosen', refusal: refuse('no-upstream', 'None left.') },
  ];
  t.is(play(t, 'attempt-refused-last', events)(begin()).phase, 'failed');
});

test('golden: a caller that leaves cancels, and what comes later changes nothing', (t) => {
  const events: AttemptEvent[] = [
    chosen('a'),
    { type: 'started' },
    { type: 'gone' },
    { type: 'whole' },
    { type: 'refused', refusal: full },
  ];
  t.is(play(t, 'attempt-gone', events)(begin()).phase, 'gone');
});

test('golden: past the deadline nothing is tried again', (t) => {
  const events: AttemptEvent[] = [chosen('a'), { type: 'refused', refusal: full }];
  t.is(play(t, 'attempt-late', events)(begin({ deadlineAtMs: 5 })).phase, 'failed');
});

test('what was never sent has certainly not run', (t) => {
  const refusal = refuse('entry-leaving', 'Leaving.', UNKNOWN);
  const { effects } = stepAttempt(begin(), { type: 'expired', refusal }, 0);
  t.like(effects[1], { type: 'fail', refusals: [{ executed: Executed.EXECUTED_NO }] });
});

test('a caller is told "no" only if no attempt can have run', (t) => {
  t.is(conclude([full, full]).executed, Executed.EXECUTED_NO);
  t.is(conclude([cut, full]).executed, Executed.EXECUTED_UNKNOWN);
  t.is(conclude([cut, full]).type, 'queue-full');
});
