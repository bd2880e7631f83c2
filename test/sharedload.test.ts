import test from 'ava';
import type { UpstreamId } from '../src/base/index.js';
import { changedPaces, LoadTable, loadOfOthers } from '../src/core/sharedload/index.js';

const A = 'a' as UpstreamId;
const B = 'b' as UpstreamId;
const LAST_HEARD_MS = 1500;

function load(upstream: UpstreamId, running: number) {
  return { upstream, running };
}

test('the sums hold the last report of each entry', (t) => {
  const table = new LoadTable();
  table.report('e1', [load(A, 3), load(B, 1)], 0);
  table.report('e2', [load(A, 4)], 0);
  t.deepEqual(table.loads(2, 0), [load(A, 7), load(B, 1)]);
  table.report('e1', [load(A, 1)], 100);
  t.deepEqual(table.loads(2, 100), [load(A, 5)]);
});

test('an entry subtracts what it reported itself', (t) => {
  const sums = [load(A, 7), load(B, 1)];
  t.deepEqual(loadOfOthers(sums, [load(A, 3), load(B, 1)]), [load(A, 4)]);
  t.deepEqual(loadOfOthers(sums, []), sums);
});

// Guards against requests of an entry that has crashed keeping slots occupied in the view of the others.
test('an entry that dies leaves the sums after 1,500 ms', (t) => {
  const table = new LoadTable();
  table.report('dead', [load(A, 9)], 0);
  table.report('e2', [load(A, 1)], LAST_HEARD_MS);
  t.deepEqual(table.loads(2, LAST_HEARD_MS), [load(A, 10)]);
  t.deepEqual(table.loads(2, LAST_HEARD_MS + 1), [load(A, 1)]);
});

// Guards against a new holder, or one that is cut off from most entries, showing busy upstreams as free.
test('the sums of a holder that has heard of less than half of the entries are not given', (t) => {
  const table = new LoadTable();
  for (let at = 0; at < 14; at += 1) table.report(`e${at}`, [load(A, 1)], 0);
  t.is(table.loads(30, 0), undefined);
  table.report('e14', [], 0);
  t.deepEqual(table.loads(30, 0), [load(A, 14)]);
  t.is(table.loads(30, LAST_HEARD_MS + 1), undefined);
});

// Guards against one absurd count that keeps an upstream unused by all entries, or is never subtracted again.
test('absurd counts are left out of the sums', (t) => {
  const table = new LoadTable();
  for (const running of [NaN, -5, 1.5, Infinity, 1e9]) {
    table.report('broken', [load(A, running), load(B, 2)], 0);
    t.deepEqual(table.loads(1, 0), [load(B, 2)]);
  }
  table.report('broken', [], 0);
  t.deepEqual(table.loads(1, 0), []);
});

test('the average pace follows the reports of all entries', (t) => {
  const table = new LoadTable();
  table.reportPaces([{ upstream: A, percent: 100 }]);
  t.deepEqual(table.paces(), [{ upstream: A, percent: 100 }]);
  for (let at = 0; at < 30; at += 1) table.reportPaces([{ upstream: A, percent: 160 }]);
  t.true(table.paces()[0]!.percent >= 158);
  table.reportPaces([{ upstream: A, percent: NaN }]);
  t.true(table.paces()[0]!.percent >= 158);
  table.keepPaces((upstream) => upstream !== A);
  t.deepEqual(table.paces(), []);
});

test('only paces that the holder was not told are reported', (t) => {
  const paces = [
    { upstream: A, percent: 100 },
    { upstream: B, percent: 160 },
  ];
  t.deepEqual(changedPaces(paces, new Map([[A, 100]])), [{ upstream: B, percent: 160 }]);
});
