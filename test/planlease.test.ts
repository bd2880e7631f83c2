import test from 'ava';
import type { Epoch, Revision } from '../src/base/index.js';
import {
  createLease,
  stepLease,
  type LeaseEvent,
  type LeaseState,
} from '../src/core/planlease/index.js';
import { session, type TimedEvent } from './support/session.js';

const KEY = '/tarragonstile/planners/redactor/cantabrico';
const START = createLease(KEY, 'one');
const tick: LeaseEvent = { type: 'tick', candidate: true };

function revision(value: number): Revision {
  return value as Revision;
}

const taken: readonly TimedEvent<LeaseEvent>[] = [
  { atMs: 0, event: tick },
  { atMs: 2, event: { type: 'read', answer: {} } },
  { atMs: 4, event: { type: 'granted', leaseId: 'L1' } },
  { atMs: 6, event: { type: 'swapped', outcome: 'swapped', revision: revision(70) } },
];

function play(events: readonly TimedEvent<LeaseEvent>[]): LeaseState {
  let state = START;
  for (const { atMs, event } of events) state = stepLease(state, event, atMs).state;
  return state;
}

test('golden: a planner is suspended, another takes over, and the first resumes', (t) => {
  const end = session(t, 'planner-paused', stepLease, START, [
    ...taken,
    { atMs: 5_010, event: tick },
    { atMs: 5_012, event: { type: 'renewed', leftMs: 15_000 } },
    // Suspended for a minute: its lease expires and another entry takes the key at revision 95.
    { atMs: 65_000, event: { type: 'met-epoch', epoch: 95 as Epoch } },
    { atMs: 65_002, event: { type: 'renewed', leftMs: 0 } },
    { atMs: 70_100, event: tick },
    { atMs: 70_102, event: { type: 'read', answer: { nonce: 'two', revision: revision(95) } } },
  ]);
  t.is(end.phase, 'watching');
});

test('golden: the store is down, and the holder continues until its lease has expired', (t) => {
  const end = session(t, 'planner-store-down', stepLease, START, [
    ...taken,
    { atMs: 5_010, event: tick },
    { atMs: 7_010, event: { type: 'renewed' } },
    { atMs: 10_020, event: tick },
    { atMs: 12_020, event: { type: 'renewed' } },
    { atMs: 605_000, event: tick },
    { atMs: 605_002, event: { type: 'renewed', leftMs: 0 } },
    { atMs: 610_010, event: tick },
    { atMs: 610_012, event: { type: 'read', answer: {} } },
    { atMs: 610_014, event: { type: 'granted', leaseId: 'L2' } },
    { atMs: 610_016, event: { type: 'swapped', outcome: 'swapped', revision: revision(99) } },
  ]);
  t.is(end.epoch, 99 as Epoch);
});

test('golden: the answer to the write that took the key is lost, and reading the key confirms the write', (t) => {
  const end = session(t, 'planner-answer-lost', stepLease, START, [
    ...taken.slice(0, 3),
    { atMs: 2_000, event: { type: 'swapped', outcome: 'unknown' } },
    { atMs: 2_010, event: tick },
    { atMs: 2_012, event: { type: 'read' } },
    { atMs: 7_020, event: tick },
    { atMs: 7_022, event: { type: 'read', answer: { nonce: 'one', revision: revision(71) } } },
  ]);
  t.is(end.phase, 'holding');
  t.is(end.epoch, 71 as Epoch);
});

test('an entry that may not plan sends nothing, and one that loses the race returns to watching', (t) => {
  const idle = stepLease(START, { type: 'tick', candidate: false }, 0);
  t.deepEqual(idle.effects, []);
  const lost = play([
    ...taken.slice(0, 3),
    { atMs: 6, event: { type: 'swapped', outcome: 'conflict' } },
  ]);
  t.is(lost.phase, 'watching');
});

test('a planned stop revokes the lease', (t) => {
  const { state, effects } = stepLease(play(taken), { type: 'stopped' }, 100);
  t.is(state.phase, 'watching');
  t.deepEqual(effects[0], { type: 'revoke', leaseId: 'L1' });
});
