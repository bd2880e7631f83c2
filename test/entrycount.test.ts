import test from 'ava';
import { EntryCount } from '../src/direct/entrycount.js';

test('a shared budget has a part for every known entry, and spare parts', (t) => {
  for (const entries of [2, 5, 23, 28, 300]) {
    const count = new EntryCount();
    for (let at = 1; at < entries; at += 1) count.heard(`entry-${at}`, 0);
    t.is(count.count(0), entries);
    t.true(count.shares(0) >= entries);
    t.true(count.shares(0) >= 8);
  }
});

test('an entry that knows only the reported count stays within its part as well', (t) => {
  const count = new EntryCount();
  t.true(count.shares(0) >= 25);
  count.setReportedCount(28);
  t.true(count.shares(0) >= 28);
});

test('an entry that has not reported for long no longer counts', (t) => {
  const count = new EntryCount();
  count.heard('a', 0);
  count.heard('b', 30_000);
  t.is(count.count(30_000), 2);
});

test('an entry that has just started knows the recorded count', (t) => {
  const count = new EntryCount();
  count.setRecordedCount(68, 0);
  t.true(count.shares(0) >= 68);
});

// Guards against a new holder's low count: each entry would take a larger part than there is.
test('a lower recorded or reported count takes effect only after the time in which entries are forgotten', (t) => {
  const count = new EntryCount();
  count.setRecordedCount(68, 0);
  count.setReportedCount(3);
  count.setRecordedCount(3, 1000);
  t.true(count.shares(1000) >= 68);
  count.setRecordedCount(3, 30_000);
  t.is(count.known(30_000), 3);
});
