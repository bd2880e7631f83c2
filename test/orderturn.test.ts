import test from 'ava';
import { OrderLeaseWorld } from './support/orderleaseworld.js';

const SPACING_MS = 3000;
const RUN_MS = 60_000;
/** For more seeds: ORDER_TURN_SEEDS=2000 npx ava dist/test/orderturn.test.js. */
const SEEDS = Number(process.env.ORDER_TURN_SEEDS ?? 60);

/** Returns orders of two hosts that are too close in time, and fencing tokens that do not rise. */
function faults(world: OrderLeaseWorld): string[] {
  const orders = [...world.orders].sort((a, b) => a.atMs - b.atMs);
  const found: string[] = [];
  for (const [at, order] of orders.entries()) {
    const before = orders[at - 1];
    if (!before || before.host === order.host) continue;
    if (order.atMs - before.atMs < SPACING_MS) {
      found.push(`${before.host} and ${order.host} at ${order.atMs}`);
    }
    if (order.token <= before.token) found.push(`token ${order.token} after ${before.token}`);
  }
  return found;
}

test('orders of two hosts keep their spacing and their fencing tokens rise, whatever fails', (t) => {
  let orderCount = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const world = new OrderLeaseWorld(seed, { waitsForSpacing: true, checksClock: true });
    world.run(RUN_MS);
    orderCount += world.orders.length;
    t.deepEqual(faults(world), [], `seed ${seed}`);
  }
  t.true(orderCount > SEEDS * 100);
});

const GUARDS = {
  'the wait for the previous holder': { waitsForSpacing: false, checksClock: true },
  'the check of the clock right before an order': { waitsForSpacing: true, checksClock: false },
};

for (const [name, guards] of Object.entries(GUARDS)) {
  test(`without ${name} the check finds a fault`, (t) => {
    let found = 0;
    for (let seed = 1; seed <= SEEDS && found === 0; seed += 1) {
      const world = new OrderLeaseWorld(seed, guards);
      world.run(RUN_MS);
      found += faults(world).length;
    }
    t.true(found > 0);
  });
}
