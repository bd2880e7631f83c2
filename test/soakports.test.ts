import test from 'ava';
import { Ports } from '../bench/soak/ports.js';

/** So few ports that independent draws would nearly always have one in common. */
const RANGE = { first: 19_900, count: 24, countPerProcess: 12 };

test('no port is allocated twice, even before a process listens on it', async (t) => {
  const ports = new Ports(RANGE);
  const given = [...(await ports.take(3)), ...(await ports.take(3)), ...(await ports.take(2))];
  t.is(new Set(given).size, given.length);
});

// An entry of one of two soaks at once did not start, since the other soak had allocated the same port.
test('no port is allocated to two processes', async (t) => {
  const range = { ...RANGE, first: 19_930 };
  const [one, other] = [new Ports(range), new Ports(range)];
  const given = [...(await one.take(8)), ...(await other.take(8))];
  t.is(new Set(given).size, given.length);
});

// A process with many runs kept a part for each, until every other soak on the machine waited for ports forever.
test('a part of the range that was given back is free for another process', async (t) => {
  const range = { first: 19_960, count: 12, countPerProcess: 12 };
  const one = new Ports(range);
  await one.take(3);
  await one.release();
  const other = new Ports(range);
  t.is((await other.take(3)).length, 3);
  await one.release();
});

// A soak of 25 seeds in one process took all parts and waited without end, and so did all other soaks.
test('a process that has closed its ports leaves its part to others', async (t) => {
  const range = { ...RANGE, first: 19_960 };
  for (let round = 0; round < 3; round += 1) {
    const ports = new Ports(range);
    t.is((await ports.take(3)).length, 3);
    await ports.release();
  }
});
