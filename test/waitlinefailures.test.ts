import test from 'ava';
import type { AskedRequest } from './support/askedrequest.js';
import type { QueueKind } from './support/queuekind.js';
import { QueueWorld } from './support/queueworld.js';

const TAKES = { tokens: [40, 60], msPerToken: 2 };
const URGENT = { name: 'urgent', priority: 0, targetMs: 252, deadlineMs: 4000, perS: 80, ...TAKES };
const SLOW = { name: 'slow', priority: 2, targetMs: 2502, deadlineMs: 12_000, perS: 80, ...TAKES };
const KINDS: readonly QueueKind[] = [URGENT, SLOW];
const NONE: readonly QueueKind[] = KINDS.map((kind) => ({ ...kind, perS: 0 }));
const CUSTOMERS = ['a', 'b', 'c', 'd'];
/** 24 slots, of which the arrivals need 16. */
const USUAL = {
  seed: 11,
  mode: 'on',
  kinds: KINDS,
  slots: [12, 12],
  customers: CUSTOMERS,
} as const;
/** One engine whose slots are taken by the first requests; nothing arrives by itself. */
const BUSY = { ...USUAL, kinds: NONE, slots: [4] };
const LONG_TOKENS = 2000;

const between =
  (fromMs: number, untilMs: number, kind?: string) =>
  ({ arrivedAtMs, kind: { name } }: AskedRequest): boolean =>
    arrivedAtMs >= fromMs && arrivedAtMs < untilMs && (kind === undefined || kind === name);

/** Returns a world whose slots are all taken for 4 s. */
function busyWorld(options: Partial<ConstructorParameters<typeof QueueWorld>[0]> = {}) {
  const world = new QueueWorld({ ...BUSY, ...options });
  const long = { ...NONE[1]!, tokens: [LONG_TOKENS] };
  for (let at = 0; at < 5; at += 1) {
    world.ask(long, 'a');
    // The prompts of two requests at a time would be paced.
    world.clock.advanceTo(world.clock.nowMs() + 50);
  }
  return world;
}

// Guards against waiting requests that are not refused when their entry ends, and against a planner that still sees them.
test('an entry that ends with a full queue refuses all that wait, and none is sent', (t) => {
  const world = busyWorld();
  const [entry] = world.entries;
  const asked = Array.from({ length: 1000 }, () => world.ask(NONE[1]!, 'b'));
  const waitingCount = entry!.waitline.size;
  t.true(waitingCount > 0);
  t.is(world.waitingCount, waitingCount);
  Object.assign(entry!.serving, { mayWait: false });
  for (const run of [...entry!.runs]) run.stopWaiting();
  t.is(entry!.waitline.size, 0);
  t.is(world.waitingCount, 0);
  world.clock.advanceTo(20_000);
  t.true(asked.every(({ sentAtMs, end }) => sentAtMs === undefined && end === '503'));
});

// Guards against requests that are sent for a caller that has left.
test('a request whose caller leaves is out of the queue at once and is never sent', (t) => {
  const world = busyWorld();
  const [entry] = world.entries;
  const asked = world.ask(NONE[1]!, 'b');
  t.is(entry!.waitline.size, 1);
  asked.leave();
  t.is(entry!.waitline.size, 0);
  t.is(world.waitingCount, 0);
  world.clock.advanceTo(20_000);
  t.is(asked.sentAtMs, undefined);
});

// Guards against a queue that holds requests beyond their deadline.
test('a waiting request is refused at its deadline at the latest', (t) => {
  const world = busyWorld();
  const kind = { ...NONE[1]!, deadlineMs: 600 };
  Object.assign(world, { options: { ...BUSY, kinds: [kind] } });
  const asked = world.ask(kind, 'b');
  world.clock.advanceTo(world.clock.nowMs() + 700);
  t.is(asked.end, '503');
  t.true(asked.endedAtMs! - asked.arrivedAtMs <= 601);
  t.is(world.entries[0]!.waitline.size, 0);
  t.is(asked.sentAtMs, undefined);
});

// Guards against a queue that needs news from other entries or the store in order to move on.
test('an entry that is cut off for 9 s serves by its own completions, also when an engine crashes', (t) => {
  const world = new QueueWorld({ ...USUAL, slots: [12, 12, 12], entryCount: 2 });
  const [first, second] = world.entries;
  world.clock.advanceTo(3000);
  const lost = world.engines[2]!;
  lost.crash();
  world.list(lost, false, [second!]);
  world.clock.advanceTo(12_000);
  world.list(lost, false, [first!]);
  world.clock.advanceTo(20_000);
  const isOfFirst = between(4000, 12_000);
  const share = world.onTime((asked) => asked.entry === 0 && isOfFirst(asked));
  t.log(`on time at the entry that was cut off: ${share.toFixed(3)}`);
  t.true(share >= 0.95);
  t.true(first!.waitline.size < 20);
});

// Guards against requests that stay in the queue although no upstream holds their model any more.
test('if all upstreams of a model crash with 500 waiting, all return to the search for an upstream', (t) => {
  let searchCount = 0;
  const waitForTarget = () => {
    searchCount += 1;
    return new Promise<{ type: 'ready' }>(() => {});
  };
  const world = busyWorld({ serving: { waitForTarget } });
  const [entry] = world.entries;
  const kind = { ...NONE[1]!, targetMs: 1e6, deadlineMs: 1e6 };
  Object.assign(world, { options: { ...BUSY, kinds: [kind, NONE[0]!] } });
  for (let at = 0; at < 500; at += 1) world.ask(kind, CUSTOMERS[at % 4]!);
  t.is(entry!.waitline.size, 500);
  const [engine] = world.engines;
  const beganAtMs = world.clock.nowMs();
  engine!.crash();
  world.list(engine!, false);
  while (entry!.waitline.size > 0 && world.clock.nowMs() < beganAtMs + 5000) {
    world.clock.advanceTo(world.clock.nowMs() + 5);
  }
  t.log(`the queue is empty after ${world.clock.nowMs() - beganAtMs} ms`);
  t.is(entry!.waitline.size, 0);
  t.true(searchCount >= 500);
  t.true(world.clock.nowMs() - beganAtMs <= 500);
});

// Guards against callers that wait for a frozen upstream until they are late, and against a forecast that stays pessimistic.
test('while the only upstream is frozen first tries are refused early; afterwards they are served', (t) => {
  const world = new QueueWorld({ ...USUAL, slots: [24] });
  world.clock.advanceTo(3000);
  world.engines[0]!.isFrozen = true;
  world.clock.advanceTo(6000);
  t.true(world.entries[0]!.waitline.size < 1000);
  const early = world.logs.filter(
    ({ text, fields }) => text === 'queue refused' && fields.reason === 'late',
  );
  t.true(early.length > 50);
  for (const { fields } of early) t.true((fields.waitedMs as number) <= 0.25 * 2502 + 20);
  const [engine] = world.engines;
  engine!.crash();
  engine!.isFrozen = false;
  engine!.restart();
  world.clock.advanceTo(20_000);
  t.log(`on time from 4 s after it: ${world.onTime(between(10_000, 18_000)).toFixed(3)}`);
  t.true(world.onTime(between(10_000, 18_000)) >= 0.95);
});

// Guards against a flood of repeats that fills the memory or starves the customers that do not repeat.
test('callers that repeat three times at once are bounded, and the queue recovers', (t) => {
  const factor = (_kind: QueueKind, customer: string, nowMs: number) => {
    const isFlood = customer === 'a' && nowMs > 3000 && nowMs < 6000;
    return isFlood ? 12 : 1;
  };
  const world = new QueueWorld({ ...USUAL, repeats: 3, factor });
  let mostWaiting = 0;
  for (let atMs = 0; atMs < 20_000; atMs += 100) {
    world.clock.advanceTo(atMs);
    mostWaiting = Math.max(mostWaiting, world.entries[0]!.waitline.size);
  }
  const othersOf = (kind: string) =>
    world.onTime((asked) => between(3000, 6000, kind)(asked) && asked.customer !== 'a');
  const shares = KINDS.map(({ name }) => `${name} ${othersOf(name).toFixed(3)}`).join(', ');
  t.log(`other customers on time in the flood: ${shares}; at most ${mostWaiting} waiting`);
  t.true(mostWaiting <= 4096);
  // The flood is urgent and exceeds the capacity by itself, so that little is left for the less urgent kind.
  t.true(othersOf('urgent') >= 0.9);
  const after = world.onTime(between(10_000, 18_000));
  t.log(`all on time from 4 s after it: ${after.toFixed(3)}`);
  t.true(after >= 0.97);
});

/**
 * Entries do not exchange their queues: the order holds within each entry. Across entries, a free slot goes to the entry
 * that finds it first, so that a request may wait while another entry sends a less urgent one. The bound checked here:
 * urgent requests of an entry with a quarter of the arrivals stay on time while other entries overload the engines with
 * less urgent ones.
 */
test('across entries, less urgent requests of one do not make urgent ones of another late', (t) => {
  const kinds = [URGENT, { ...SLOW, perS: 320 }];
  const world = new QueueWorld({ ...USUAL, kinds, entryCount: 4 });
  world.clock.advanceTo(20_000);
  const shares = [0, 1, 2, 3].map((entry) =>
    world.onTime((asked) => asked.entry === entry && between(0, 18_000, 'urgent')(asked)),
  );
  const slow = world.onTime(between(0, 18_000, 'slow'));
  const text = shares.map((share) => share.toFixed(3)).join(', ');
  t.log(`urgent on time by entry: ${text}; slow ${slow.toFixed(3)}`);
  for (const share of shares) t.true(share >= 0.9);
});

// Guards against a trial that is refused or lost because its request waited for a slot.
test('a suspected request that has waited runs as a trial', async (t) => {
  const trials: string[] = [];
  const poison = {
    isIdle: false,
    answered: () => {},
    assess: () => ({ verdict: 'suspect', traits: ['trait'] }),
    beginTrial: () => {
      trials.push('begin');
      return Promise.resolve(true);
    },
    endTrial: () => trials.push('end'),
    recordSurvival: () => {},
    recordEnd: () => {},
  };
  const world = busyWorld();
  Object.assign(world.entries[0]!.serving, { poison });
  const asked = world.ask(NONE[1]!, 'b');
  t.is(world.entries[0]!.waitline.size, 1);
  world.engines[0]!.crash();
  world.engines[0]!.restart();
  for (let at = 0; at < 20; at += 1) {
    world.clock.advanceTo(world.clock.nowMs() + 50);
    await new Promise(setImmediate);
  }
  t.is(asked.end, '200');
  t.deepEqual(trials, ['begin', 'end']);
});

// Guards against requests that stay in the queue while their upstreams are rate limited, or are refused for it at once.
test('waiting requests wait for a rate limited upstream as without a queue', (t) => {
  const world = busyWorld();
  const [entry] = world.entries;
  const { fleet } = entry!;
  const asked = world.ask(NONE[1]!, 'b');
  t.is(entry!.waitline.size, 1);
  let slotCount = 0;
  Object.assign(fleet, {
    choose: () => undefined,
    blockFor: () => ({ reason: 'limited', opensInMs: 100 }),
    requestSlot: () => {
      slotCount += 1;
    },
  });
  world.clock.advanceTo(world.clock.nowMs() + 100);
  t.is(entry!.waitline.size, 0);
  t.is(asked.end, 'open');
  t.true(slotCount > 0);
  for (const name of ['choose', 'blockFor', 'requestSlot']) Reflect.deleteProperty(fleet, name);
  world.engines[0]!.crash();
  world.engines[0]!.restart();
  world.clock.advanceTo(world.clock.nowMs() + 500);
  t.is(asked.end, '200');
});

// Guards against a request that is refused because it waits in vain for further news of its payment.
test('a waiting request whose payment has become too old pays again and is sent', async (t) => {
  const world = busyWorld();
  let hasPaid = false;
  const charge = {
    cost: 0,
    covers: () => hasPaid || world.clock.nowMs() < 500,
    pay: () => {
      hasPaid = true;
      return Promise.resolve({ type: 'paid' });
    },
    settle: () => {},
  };
  const asked = world.ask(NONE[1]!, 'b', 0, charge);
  t.is(world.entries[0]!.waitline.size, 1);
  world.clock.advanceTo(600);
  await new Promise(setImmediate);
  t.true(hasPaid);
  world.engines[0]!.crash();
  world.engines[0]!.restart();
  world.clock.advanceTo(1200);
  t.is(asked.end, '200');
});
