import test from 'ava';
import type { Revision } from '../src/base/index.js';
import { takeRecord, type Lifecycle } from '../src/core/upstreams/index.js';

type ListRecord = Parameters<typeof takeRecord>[1];

const READY: ListRecord = { sequence: 5, isLeaving: false };
const LEAVING: ListRecord = { sequence: 6, isLeaving: true };

/** Applies records at revisions 1, 2, 3 and so on, 100 ms apart. */
function take(...records: readonly ListRecord[]): ReturnType<typeof takeRecord> {
  let taken: ReturnType<typeof takeRecord> | undefined;
  for (const [at, record] of records.entries()) {
    taken = takeRecord(taken?.lifecycle, record, (at + 1) as Revision, at * 100);
  }
  return taken!;
}

function removed(lifecycle: Lifecycle, removedAtMs: number): Lifecycle {
  return { ...lifecycle, removedAtMs, revision: (lifecycle.revision + 1) as Revision };
}

test('a record that says ready after one that said leaving does not make the upstream eligible again', (t) => {
  t.true(take(READY, LEAVING, READY).lifecycle.isLeaving);
  t.true(take(READY, LEAVING, { ...READY, sequence: 7 }).lifecycle.isLeaving);
});

test('a record that was applied already changes nothing', (t) => {
  const { lifecycle } = take(READY, READY);
  const again = takeRecord(lifecycle, LEAVING, 2 as Revision, 300);
  t.is(again.verdict, 'replayed');
  t.is(again.lifecycle, lifecycle);
});

test('a late write does not bring back an upstream that was removed', (t) => {
  const gone = removed(take(READY).lifecycle, 100);
  t.is(takeRecord(gone, { ...READY, sequence: 4 }, 9 as Revision, 3000).verdict, 'late-write');
});

test('an upstream that writes again after its record expired is listed again', (t) => {
  const gone = removed(take(READY).lifecycle, 100);
  const back = takeRecord(gone, { ...READY, sequence: 6 }, 9 as Revision, 3000);
  t.is(back.verdict, 'current');
  t.is(back.lifecycle.removedAtMs, undefined);
  // A write that got no answer is repeated with the same sequence.
  t.is(takeRecord(gone, READY, 9 as Revision, 3000).verdict, 'current');
  t.is(takeRecord(gone, { ...READY, sequence: 1 }, 9 as Revision, 20_000).verdict, 'current');
});

test('an upstream that said it leaves stays leaving when its expired record is written again', (t) => {
  const gone = removed(take(READY, LEAVING).lifecycle, 200);
  t.true(takeRecord(gone, { ...READY, sequence: 9 }, 9 as Revision, 3000).lifecycle.isLeaving);
});

test('a new start under the same id is ready, and a record of the earlier one is ignored', (t) => {
  const first = { ...LEAVING, startedAtMs: 1 };
  const second = { sequence: 1, isLeaving: false, startedAtMs: 2 };
  const restarted = take(first, second);
  t.is(restarted.verdict, 'restart');
  t.false(restarted.lifecycle.isLeaving);
  const late = takeRecord(restarted.lifecycle, first, 9 as Revision, 500);
  t.is(late.verdict, 'earlier-start');
});
