import test from 'ava';
import { TurnWorld } from './support/turnworld.js';

const TURN_MS = 3000;
const DAY_MS = 60_000;
/** More by hand: ORDER_TURN_SEEDS=2000 npx ava dist/test/orderturn.test.js. */
const SEEDS = Number(process.env.ORDER_TURN_SEEDS ?? 60);

/** Orders of two hosts that are closer than a turn, or tokens that fall. */
function faults(world: TurnWorld): string[] {
  const orders = [...world.orders].sort((a, b) => a.atMs - b.atMs);
  const found: string[] = [];
  for (const [at, order] of orders.entries()) {
    const before = orders[at - 1];
    if (!before || before.host === order.host) continue;
    if (order.atMs - before.atMs < TURN_MS) {
      found.push(`${before.host} and ${order.host} at ${order.atMs}`);
    }
    if (order.token <= before.token) found.push(`token ${order.token} after ${before.token}`);
  }
  return found;
}

test('orders of two hosts keep a turn apart and their tokens rise, whatever fails', (t) => {
  let orderCount = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const world = new TurnWorld(seed, { waitsForTurn: true, checksClock: true });
    world.run(DAY_MS);
    orderCount += world.orders.length;
    t.deepEqual(faults(world), [], `seed ${seed}`);
  }
  t.true(orderCount > SEEDS * 100);
});

const GUARDS = {
  'the wait for the holder before': { waitsForTurn: false, checksClock: true },
  'the look at the clock right before an order': { waitsForTurn: true, checksClock: false },
};

for (const [name, guards] of Object.entries(GUARDS)) {
  test(`without ${name} the check finds a fault`, (t) => {
    let found = 0;
    for (let seed = 1; seed <= SEEDS && found === 0; seed += 1) {
      const world = new TurnWorld(seed, guards);
      world.run(DAY_MS);
      found += faults(world).length;
    }
    t.true(found > 0);
  });
}
