import test from 'ava';
import type { AskedRequest } from './support/askedrequest.js';
import type { QueueKind } from './support/queuekind.js';
import { QueueWorld } from './support/queueworld.js';

const TAKES = { tokens: [40, 60], msPerToken: 2 };
const URGENT = {
  name: 'urgent',
  priority: 0,
  targetMs: 252,
  deadlineMs: 4000,
  perS: 100,
  ...TAKES,
};
const MIDDLE = {
  name: 'middle',
  priority: 1,
  targetMs: 402,
  deadlineMs: 10_000,
  perS: 100,
  ...TAKES,
};
const SLOW = { name: 'slow', priority: 2, targetMs: 2502, deadlineMs: 12_000, perS: 25, ...TAKES };
const KINDS: readonly QueueKind[] = [URGENT, MIDDLE, SLOW];
const CUSTOMERS = ['a', 'b', 'c', 'd'];
/** 24 slots, of which the usual load needs 22.5. */
const USUAL = { seed: 7, kinds: KINDS, slots: [12, 12], customers: CUSTOMERS };
const RUN_MS = 20_000;
const COUNTED_MS = 18_000;
const BURST = { fromMs: 5000, untilMs: 8000 };

type Options = Omit<ConstructorParameters<typeof QueueWorld>[0], 'mode'>;

/** Runs one load with the queue and with the timers of other services. */
function runBoth(options: Options) {
  const on = new QueueWorld({ ...options, mode: 'on' });
  const off = new QueueWorld({ ...options, mode: 'off' });
  for (const world of [on, off]) world.clock.advanceTo(RUN_MS);
  return { on, off };
}

const of =
  (kind?: string, customer?: string) =>
  (asked: AskedRequest): boolean =>
    asked.arrivedAtMs < COUNTED_MS &&
    (kind === undefined || asked.kind.name === kind) &&
    (customer === undefined || asked.customer === customer);

/** Returns the shares on time, for the log of a test. */
function describe(name: string, world: QueueWorld): string {
  const share = (...args: Parameters<typeof of>) => world.onTime(of(...args)).toFixed(3);
  const kinds = KINDS.map((kind) => `${kind.name} ${share(kind.name)}`);
  const customers = CUSTOMERS.map((customer) => `${customer} ${share(undefined, customer)}`);
  return `${name}: all ${share()}, ${kinds.join(', ')}, ${customers.join(', ')}`;
}

// Guards against a queue that loses requests which the timers serve in time while capacity suffices.
test('with Poisson arrivals at 0.94 of the capacity, requests of all kinds are on time', (t) => {
  const { on, off } = runBoth(USUAL);
  t.log(describe('queue', on));
  t.log(describe('timers', off));
  for (const { name } of KINDS) {
    t.true(on.onTime(of(name)) >= 0.97, name);
  }
  t.true(on.onTime(of()) >= off.onTime(of()));
  t.is(on.overtakeCount, 0);
  t.is(on.refusedBesideFreeSlot, 0);
});

// Guards against requests that are tried for a slot again and again while their callers are confirmed to be connected.
test('requests are on time if each caller has to be confirmed before its request is sent', (t) => {
  const world = new QueueWorld({ ...USUAL, mode: 'on', confirmMs: 2 });
  world.clock.advanceTo(RUN_MS);
  t.log(describe('queue', world));
  for (const { name } of KINDS) t.true(world.onTime(of(name)) >= 0.95, name);
  t.is(world.refusedBesideFreeSlot, 0);
});

// Guards against requests that wait until they are late, and against a burst of one kind that delays a more urgent one.
test('a burst of four times in one kind delays no more urgent kind', (t) => {
  const isBurst = (nowMs: number) => nowMs > BURST.fromMs && nowMs < BURST.untilMs;
  const factor: Options['factor'] = (kind, _customer, nowMs) =>
    kind === MIDDLE && isBurst(nowMs) ? 3.2 : 0.8;
  const { on, off } = runBoth({ ...USUAL, factor });
  t.log(describe('queue', on));
  t.log(describe('timers', off));
  t.true(on.onTime(of('urgent')) >= 0.99);
  t.true(on.onTime(of('urgent')) >= off.onTime(of('urgent')));
  t.true(on.onTime(of('middle')) >= 0.94);
  t.true(on.onTime(of('slow')) >= 0.97);
  t.is(on.refusedBesideFreeSlot, 0);
});

// Guards against a customer that takes the share of others by sending more requests.
test('a customer at eight times its usual load does not make others late', (t) => {
  const factor: Options['factor'] = (_kind, customer) => (customer === 'a' ? 8 : 1) * 0.5;
  const { on, off } = runBoth({ ...USUAL, factor });
  t.log(describe('queue', on));
  t.log(describe('timers', off));
  for (const customer of ['b', 'c', 'd']) {
    t.true(on.onTime(of(undefined, customer)) >= 0.9, customer);
    t.true(on.onTime(of(undefined, customer)) >= off.onTime(of(undefined, customer)), customer);
  }
  t.true(on.served(of(undefined, 'a')) >= 0.5);
  t.is(on.refusedBesideFreeSlot, 0);
});

// Guards against shares by number of requests, and against kinds or customers that are starved.
test('with mixed prompt sizes no kind or customer is starved', (t) => {
  const kinds = KINDS.map((kind) => ({ ...kind, tokens: [10, 20, 50, 200] }));
  const { on, off } = runBoth({ ...USUAL, kinds, slots: [16, 16] });
  t.log(describe('queue', on));
  t.log(describe('timers', off));
  for (const { name } of KINDS) t.true(on.served(of(name)) >= 0.8, name);
  for (const customer of CUSTOMERS) t.true(on.onTime(of(undefined, customer)) >= 0.9, customer);
  t.is(on.refusedBesideFreeSlot, 0);
});

// Guards against an order that favours a less urgent kind, if kinds differ in nothing but their priority.
test('under overload a less urgent kind is never served more often than a more urgent one', (t) => {
  const same = { targetMs: 402, deadlineMs: 10_000, perS: 120 };
  const kinds = KINDS.map((kind) => ({ ...kind, ...same }));
  const world = new QueueWorld({ ...USUAL, kinds, mode: 'on' });
  world.clock.advanceTo(RUN_MS);
  t.log(describe('queue', world));
  for (const share of ['onTime', 'served'] as const) {
    const [urgent, middle, slow] = KINDS.map(({ name }) => world[share](of(name)));
    t.true(urgent! >= middle! && middle! >= slow!, share);
  }
  t.true(world.onTime(of('urgent')) >= 0.95);
  t.is(world.overtakeCount, 0);
});
