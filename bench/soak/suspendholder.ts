import { Callers } from './callers.js';
import { Dice } from './dice.js';
import { pause } from './pause.js';
import { Site } from './site.js';
import { suspendedCommand } from './suspendedcommand.js';
import { Witness } from './witness.js';

/**
 * Suspends the host of whoever gives orders, again and again, until another one has taken over, while callers ask
 * for models that have to be brought; prints the promises that were broken. With the argument `steady` entries go by a clock that stands still meanwhile.
 */
const isSteady = process.argv[2] === 'steady';
/** A defect need not show each time: the woken entry has to order something before it looks after its right. */
const ROUNDS = isSteady ? 8 : 3;
const CALLERS = 24;
const SLACK_MS = 8000;
const ORDER_PROMISES = new Set(['orders have one holder at a time', 'fencing tokens rise']);
/** Orders of a holder that woke come within one plan of each other. */
const AFTER_MS = 1000;
/** An engine loses what it holds this often, so that there is always something to order. */
const EMPTIED_EVERY_MS = 250;

const site = new Site();
await site.start(2, suspendedCommand(isSteady));
const { entries } = site;
const callers = new Callers(entries, new Dice(1));
const orderCount = () => site.listed.reduce((sum, { server }) => sum + server.orderLog.length, 0);

/** The entry that gave the newest order. */
function holder(): (typeof entries)[number] {
  const orders = site.listed.flatMap(({ server }) => server.orderLog);
  orders.sort((a, b) => a.atMs - b.atMs);
  return entries.find(({ name }) => name === orders.at(-1)!.order.holder)!;
}

async function untilOrdered(): Promise<void> {
  const before = orderCount();
  while (orderCount() === before) await pause(5);
}

/** The right has passed to another entry, and that one uses it. */
async function untilAnotherOrders(than: string): Promise<void> {
  while (holder().name === than) await pause(5);
}

function broken(): string[] {
  const breaches = new Witness(site, callers.calls, SLACK_MS).judge();
  return breaches.map(({ promise }) => promise);
}

while (!entries.every(({ lines }) => lines.some((line) => line.includes('state read')))) {
  await pause(5);
}
callers.start(CALLERS);
const engines = site.listed.filter(({ server }) => server.service === 'engine');
let emptied = 0;
const emptying = setInterval(() => {
  emptied += 1;
  engines[emptied % engines.length]!.server.restart();
}, EMPTIED_EVERY_MS);
for (let round = 0; round < ROUNDS; round += 1) {
  await untilOrdered();
  const suspended = holder();
  suspended.freeze();
  await untilAnotherOrders(suspended.name);
  // All engines have lost what they held: whoever believes that it may order has something to order.
  for (const { server } of engines) server.restart();
  suspended.thaw();
  await pause(AFTER_MS);
  if (broken().some((promise) => ORDER_PROMISES.has(promise))) break;
}
clearInterval(emptying);
await callers.stop();
console.log(JSON.stringify(broken()));
await site.close();
process.exit(0);
