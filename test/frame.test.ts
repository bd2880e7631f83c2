import test from 'ava';
import { startSequence, stepSequence } from '../src/core/frame/index.js';
import type { Frame } from '../src/wire/index.js';
import { session } from './support/session.js';

type Body = NonNullable<Frame['body']>;

const START: Body = { $case: 'start', value: { status: 200, headers: [] } };
const DATA: Body = { $case: 'data', value: { payload: Buffer.from('a'), tokenCount: 1 } };

function end(dataCount: number): Body {
  const none = { failure: '', load: undefined, resumeToken: '', candidates: [] };
  return { $case: 'end', value: { dataCount, ...none } };
}

function frame(sequence: number, body: Body, more: Partial<Frame> = {}) {
  return { atMs: sequence, event: { requestId: 'r1', attempt: 2, sequence, body, ...more } };
}

test('golden: late, duplicate and misdirected frames are dropped and the answer is complete', (t) => {
  const state = session(t, 'frames-crossed', stepSequence, startSequence('r1', 2), [
    frame(0, START, { attempt: 1 }),
    frame(0, START),
    frame(0, START),
    frame(1, DATA),
    frame(2, DATA, { requestId: 'r2' }),
    frame(2, DATA, { attempt: 3 }),
    frame(1, DATA),
    frame(2, DATA),
    frame(3, end(2)),
    frame(4, DATA),
  ]);
  t.is(state.phase, 'ended');
  t.is(state.dataCount, 2);
});

test('golden: a missing frame ends the answer with a gap', (t) => {
  session(t, 'frames-gap', stepSequence, startSequence('r1', 2), [
    frame(0, START),
    frame(2, DATA),
    frame(1, DATA),
  ]);
});

test('golden: a wrong count of data frames in the end frame is a gap', (t) => {
  session(t, 'frames-count', stepSequence, startSequence('r1', 2), [
    frame(0, START),
    frame(1, DATA),
    frame(2, end(3)),
  ]);
});
