import test from 'ava';
import type { RequestId } from '../src/base/index.js';
import { copyHolders, type Member } from '../src/core/origin/index.js';
import { Members } from '../src/direct/members.js';

function member(at: number, zones = 3): Member {
  return { entry: `e${at}`, address: `10.0.0.${at}:1`, availabilityZone: `z${at % zones}` };
}

const LONG_MS = 30_000;

test('entries that report to one holder know the same members', (t) => {
  const holder = new Members(member(0));
  const others = [new Members(member(1)), new Members(member(2))];
  for (let round = 0; round < 2; round += 1) {
    for (const [at, one] of others.entries()) {
      holder.reported(member(at + 1), round);
      one.answered(holder.listFor(one.knownDigest, round), round);
    }
  }
  const namesOf = (one: Members) =>
    one
      .all(2)
      .map(({ entry }) => entry)
      .sort();
  for (const one of [holder, ...others]) t.deepEqual(namesOf(one), ['e0', 'e1', 'e2']);
  t.is(holder.listFor(others[0]!.knownDigest, 2).members, undefined);
});

test('an entry that is not heard of any more is no member', (t) => {
  const members = new Members(member(0));
  members.reported(member(1), 0);
  members.reported(member(2), LONG_MS);
  t.deepEqual(
    members.all(LONG_MS).map(({ entry }) => entry),
    ['e0', 'e2'],
  );
});

test('two copies of a stream are never both in the zone of the entry that began it', (t) => {
  for (let count = 3; count < 12; count += 1) {
    const members = Array.from({ length: count }, (_, at) => member(at, 2 + (count % 3)));
    for (let request = 0; request < 50; request += 1) {
      const holders = copyHolders(`r${request}` as RequestId, members);
      for (const sender of members) {
        const copies = holders.filter((holder) => holder !== sender).slice(0, 2);
        t.is(copies.length, 2);
        t.true(copies.some(({ availabilityZone: zone }) => zone !== sender.availabilityZone));
      }
    }
  }
});
