import { Callers } from './callers.js';
import { Dice } from './dice.js';
import { pause } from './pause.js';
import { Site } from './site.js';
import { suspendedCommand } from './suspendedcommand.js';
import { PromiseChecker, type Breach } from './promisechecker.js';

/**
 * Repeatedly suspends the host of the order lease holder until another entry has taken over, while callers request
 * models that have to be loaded, and prints the promises that were broken. With the argument `steady`, entries use a
 * clock that does not advance during a suspension. If a promise about orders was broken, prints what led to it.
 */
const isSteady = process.argv[2] === 'steady';
/** The defect does not show in every round: the resumed entry has to give an order before it checks its lease. */
const ROUNDS = isSteady ? 8 : 3;
const CALLERS = 24;
const SLACK_MS = 8000;
const ORDER_PROMISES = new Set(['orders have one holder at a time', 'fencing tokens rise']);
/** Log lines about single orders, the order lease and suspensions. */
const ORDER_LINE = /"message":"(order"|order turn|host was suspended|no clock)/;
/** Time for a resumed holder to give its orders: they come within one planning round. */
const AFTER_THAW_MS = 1000;
/** An engine restarts with empty memory this often, so that there is always something to order. */
const RESTART_EVERY_MS = 250;

const site = new Site();
await site.start(2, suspendedCommand(isSteady));
const { entries } = site;
const callers = new Callers(entries, new Dice(1));
const orderCount = () => site.servers.reduce((sum, { server }) => sum + server.orderLog.length, 0);

/** Returns the entry that gave the newest order. */
function holder(): (typeof entries)[number] {
  const orders = site.servers.flatMap(({ server }) => server.orderLog);
  orders.sort((a, b) => a.atMs - b.atMs);
  return entries.find(({ name }) => name === orders.at(-1)!.order.holder)!;
}

async function waitForOrder(): Promise<void> {
  const before = orderCount();
  while (orderCount() === before) await pause(5);
}

/** Waits until another entry has taken the order lease and given an order. */
async function waitForOtherHolder(than: string): Promise<void> {
  while (holder().name === than) await pause(5);
}

function findBreaches(): readonly Breach[] {
  return new PromiseChecker(site, callers.calls, SLACK_MS).judge();
}

function breaksOrderPromise(breaches: readonly Breach[]): boolean {
  return breaches.some(({ promise }) => ORDER_PROMISES.has(promise));
}

/**
 * Returns the suspensions, all orders as the engines received them, and the entries' log lines about orders and the order
 * lease, by the same clock. The `tookMs` of an order tells one that was sent before the suspension and arrived after it
 * from one that was decided after it.
 */
function orderHistory(): object {
  const orders = site.servers.flatMap(({ server }) =>
    server.orderLog.map(({ order, atMs }) => ({ atMs, server: server.id, ...order })),
  );
  orders.sort((a, b) => a.atMs - b.atMs);
  return {
    wallAtZeroMs: performance.timeOrigin,
    suspensions: entries.map(({ name, interruptedAtMs }) => ({ name, interruptedAtMs })),
    orders,
    lines: entries.map(({ name, lines }) => ({
      name,
      lines: lines.filter((line) => ORDER_LINE.test(line)),
    })),
  };
}

while (!entries.every(({ lines }) => lines.some((line) => line.includes('state read')))) {
  await pause(5);
}
callers.start(CALLERS);
const engines = site.servers.filter(({ server }) => server.service === 'engine');
let restarts = 0;
const restarting = setInterval(() => {
  restarts += 1;
  engines[restarts % engines.length]!.server.restart();
}, RESTART_EVERY_MS);
for (let round = 0; round < ROUNDS; round += 1) {
  await waitForOrder();
  const suspended = holder();
  suspended.freeze();
  await waitForOtherHolder(suspended.name);
  // All engines lose their models, so that an entry that wrongly believes that it holds the lease gives orders.
  for (const { server } of engines) server.restart();
  suspended.thaw();
  await pause(AFTER_THAW_MS);
  if (breaksOrderPromise(findBreaches())) break;
}
clearInterval(restarting);
await callers.stop();
const breaches = findBreaches();
const history = breaksOrderPromise(breaches) ? orderHistory() : undefined;
console.log(JSON.stringify({ breaches, history }));
await site.close();
process.exit(0);
