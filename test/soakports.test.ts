import test from 'ava';
import { Ports } from '../bench/soak/ports.js';

/** Few enough that two draws of four would nearly always share one. */
const RANGE = { first: 19_900, count: 12 };

test('no port is given twice, also before anybody listens on it', async (t) => {
  const ports = new Ports(RANGE);
  const given = [...(await ports.take(3)), ...(await ports.take(3)), ...(await ports.take(2))];
  t.is(new Set(given).size, given.length);
});
