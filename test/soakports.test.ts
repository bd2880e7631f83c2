import test from 'ava';
import { Ports } from '../bench/soak/ports.js';

/** So few ports that independent draws would nearly always have one in common. */
const RANGE = { first: 19_900, count: 12 };

test('no port is allocated twice, even before a process listens on it', async (t) => {
  const ports = new Ports(RANGE);
  const given = [...(await ports.take(3)), ...(await ports.take(3)), ...(await ports.take(2))];
  t.is(new Set(given).size, given.length);
});
