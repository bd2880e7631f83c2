import test from 'ava';
import type { ModelId, Ms, ServiceId, UpstreamId } from '../src/base/index.js';
import type { Upstream } from '../src/core/upstreams/index.js';
import { Fleet, type Gate } from '../src/direct/route/index.js';
import { EngineWorld } from './support/engineworld.js';
import { PlainWorld } from './support/plainworld.js';

const TARGET = { service: 's' as ServiceId, model: 'm' as ModelId };
const SLOTS = 8;
const DRAWS = 200;
const SEED_RANGE = 2 ** 32;

function fleetWith(loads: Readonly<Record<string, number>>, gate?: Gate): Fleet {
  const fleet = new Fleet('z', gate);
  fleet.setLoadMode('on');
  for (const [id, running] of Object.entries(loads)) {
    const models = new Map([[TARGET.model, { version: 1, adapters: new Set<string>() }]]);
    const info = { id, service: TARGET.service, models, slots: SLOTS, availabilityZone: 'z' };
    fleet.put({ ...info, isLeaving: false } as unknown as Upstream);
    fleet.recordLoad(fleet.get(id as UpstreamId)!, { running, waiting: 0 }, 0);
  }
  return fleet;
}

/** Returns the upstreams that requests with evenly spread seeds are sent to, and how often. */
function chosen(
  fleet: Fleet,
  options: Parameters<Fleet['choose']>[2] = {},
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (let draw = 0; draw < DRAWS; draw += 1) {
    const seed = Math.floor((draw / DRAWS) * SEED_RANGE);
    const { id } = fleet.choose(TARGET, 0, { seed, ...options })!.info;
    counts[id] = (counts[id] ?? 0) + 1;
  }
  return counts;
}

const stateOf = (fleet: Fleet, id: string) => fleet.get(id as UpstreamId)!;

test('an avoided upstream gets no requests while others have free slots', (t) => {
  const fleet = fleetWith({ a: 7, b: 0 });
  fleet.recordOutcome(stateOf(fleet, 'b'), 'full', TARGET, 0);
  t.deepEqual(chosen(fleet), { a: DRAWS });
});

test('an upstream that fails often gets no requests while others have free slots, and then again', (t) => {
  const fleet = fleetWith({ a: 7, b: 0 });
  for (let count = 0; count < 6; count += 1) {
    fleet.recordOutcome(stateOf(fleet, 'b'), 'failed', TARGET, 0);
  }
  t.deepEqual(chosen(fleet), { a: DRAWS });
  fleet.recordLoad(stateOf(fleet, 'a'), { running: SLOTS, waiting: 0 }, 0);
  t.deepEqual(chosen(fleet), { b: DRAWS });
});

test('a trial does not run at the upstream with the only replica of a model', (t) => {
  const fleet = fleetWith({ a: 0, b: 7 });
  const { info } = stateOf(fleet, 'a');
  const models = new Map([...info.models, ['only' as ModelId, info.models.get(TARGET.model)!]]);
  fleet.put({ ...info, models });
  t.deepEqual(chosen(fleet, { isTrial: true }), { b: DRAWS });
});

test('a blocked upstream is not chosen, and a slot is asked for there', (t) => {
  const wanted = new Set<string>();
  const gate: Gate = {
    blockOf: ({ id }) => (id === 'a' ? { reason: 'limited', opensInMs: 10 } : undefined),
    maySend: () => true,
    wanted: (upstreams) => upstreams.forEach(({ id }) => wanted.add(id)),
    useSlot() {},
  };
  t.deepEqual(chosen(fleetWith({ a: 0, b: 0 }, gate)), { b: DRAWS });
  t.deepEqual([...wanted], ['a']);
  t.is(fleetWith({ a: 0 }, gate).choose(TARGET, 0), undefined);
});

test('retries do not all go to the same upstream after one has refused them', (t) => {
  const fleet = fleetWith({ a: 0, b: 0, c: 0, d: 0 });
  const counts: Record<string, number> = {};
  for (let draw = 0; draw < DRAWS; draw += 1) {
    const seed = Math.floor((draw / DRAWS) * SEED_RANGE);
    const first = fleet.choose(TARGET, 0, { seed })!.info.id;
    if (first !== 'a') continue;
    const { id } = fleet.choose(TARGET, 0, { seed, tried: new Set([first]) })!.info;
    counts[id] = (counts[id] ?? 0) + 1;
  }
  t.deepEqual(Object.keys(counts).sort(), ['b', 'c', 'd']);
  for (const count of Object.values(counts)) t.true(count < 25, JSON.stringify(counts));
});

test('a slot that is free is found for any seed, and refused to nobody', (t) => {
  const fleet = fleetWith({ a: SLOTS, b: 7, c: 9 });
  t.deepEqual(chosen(fleet), { b: DRAWS });
  t.false(fleet.isFull(stateOf(fleet, 'b'), false, 0));
  t.true(fleet.isFull(stateOf(fleet, 'a'), false, 0));
});

test('the most urgent requests exceed the slots by a quarter, and only if no slot is free', (t) => {
  const options = { isUrgent: true };
  t.deepEqual(chosen(fleetWith({ a: SLOTS, b: 7 }), options), { b: DRAWS });
  const fleet = fleetWith({ a: SLOTS + 1, b: SLOTS + 2 });
  t.deepEqual(chosen(fleet, options), { a: DRAWS });
  t.false(fleet.isFull(stateOf(fleet, 'a'), true, 0));
  t.true(fleet.isFull(stateOf(fleet, 'b'), true, 0));
});

test('a request waits inside an engine for as long as its target latency allows, at most', (t) => {
  const fleet = fleetWith({ a: SLOTS });
  const engine = stateOf(fleet, 'a');
  // A slot becomes free every 250 ms, and a quarter of the target latency may be spent on the wait.
  t.true(fleet.isFull(engine, false, 0, 400));
  t.false(fleet.isFull(engine, false, 0, 1000));
  fleet.recordLoad(engine, { running: SLOTS, waiting: 1 }, 0);
  t.true(fleet.isFull(engine, false, 0, 10_000));
});

test('an engine takes fewer streams than it has slots after a long gap', (t) => {
  const fleet = fleetWith({ a: 7 });
  fleet.recordGap(stateOf(fleet, 'a'), 190, 200, 0);
  t.true(fleet.isFull(stateOf(fleet, 'a'), false, 0));
});

test('a service that is not load-aware gets the least loaded upstream, whatever the seed', (t) => {
  const fleet = fleetWith({ a: 3, b: 2, c: 2 });
  fleet.setLoadMode('off');
  t.deepEqual(chosen(fleet), { b: DRAWS });
  t.false(fleet.isFull(stateOf(fleet, 'a'), false, 0));
});

const RUN_MS = 26_000;
const PACES = Array.from({ length: 12 }, (_one, at) => ({ pace: [0.6, 1, 1.6][at % 3]! }));
/** What the twelve engines serve with all slots in use. */
const CAPACITY_PER_S = 158;
const ENTRIES = 30;

type EngineOptions = ConstructorParameters<typeof EngineWorld>[0];

function figures(options: Partial<EngineOptions> & Pick<EngineOptions, 'perS'>) {
  const known = { entryCount: ENTRIES, engines: PACES, seed: 1, isLoadAware: true, reportMs: 100 };
  const world = new EngineWorld({ ...known, ...options }).run(RUN_MS);
  const { asked, onTime, refused, refusedBesideFree, peak, samples } = world.count;
  const sums = world.engines.map(({ sum }) => sum);
  const mean = sums.reduce((all, sum) => all + sum, 0) / sums.length;
  const round = (value: number) => Math.round(value * 1000) / 1000;
  return {
    shareOnTime: round(onTime / asked),
    refused,
    refusedBesideFree,
    busiestToMean: round(Math.max(...sums) / mean),
    peakToMean: round(peak / samples),
    sent: world.engines.map(({ sent }) => sent),
  };
}

/** Figures with the choice by forecast, with the one by least load, and with one entry that knows everything. */
function compare(options: Pick<EngineOptions, 'perS' | 'reportMs'>) {
  return {
    forecast: figures(options),
    leastLoad: figures({ ...options, isLoadAware: false }),
    informed: figures({ ...options, entryCount: 1 }),
  };
}

const poisson = (share: number) => () => share * CAPACITY_PER_S;
const SWING_MS = 13_000;
const swing = (share: number) => (atMs: Ms) =>
  share * CAPACITY_PER_S * (1 + 0.55 * Math.sin((2 * Math.PI * atMs) / SWING_MS));

test('entries with the same stale information do not crowd one engine under Poisson load', (t) => {
  const fresh = compare({ perS: poisson(0.8), reportMs: 100 });
  t.log(fresh);
  t.true(fresh.forecast.shareOnTime >= 0.98);
  t.true(fresh.forecast.shareOnTime >= fresh.leastLoad.shareOnTime);
  t.true(fresh.forecast.busiestToMean <= 1.1);
  const stale = compare({ perS: poisson(0.8), reportMs: 1000 });
  t.log(stale);
  t.true(stale.forecast.shareOnTime >= 0.9);
  t.true(stale.forecast.shareOnTime >= stale.leastLoad.shareOnTime + 0.3);
  t.true(stale.forecast.peakToMean <= stale.leastLoad.peakToMean * 0.7);
  t.is(stale.forecast.refused, 0);
});

test('entries with the same stale information use all engines while the load swings by 0.55', (t) => {
  for (const reportMs of [100, 1000]) {
    const { forecast, leastLoad, informed } = compare({ perS: swing(0.62), reportMs });
    t.log(reportMs, { forecast, leastLoad, informed });
    t.true(forecast.shareOnTime >= leastLoad.shareOnTime + 0.05);
    t.true(forecast.shareOnTime >= informed.shareOnTime - 0.15);
    t.true(forecast.busiestToMean <= 1.15);
    t.is(forecast.refusedBesideFree, 0);
  }
});

test('a pace that is false neither starves an engine nor makes its requests late', (t) => {
  for (const reported of [0.4, 2.5]) {
    const engines = [{ pace: 1, reported }, ...Array.from({ length: 11 }, () => ({ pace: 1 }))];
    const { shareOnTime, sent } = figures({ engines, perS: poisson(0.6) });
    t.log({ reported, shareOnTime, sent });
    t.true(shareOnTime >= 0.98);
    const mean = sent.reduce((sum, count) => sum + count, 0) / sent.length;
    t.true(sent[0]! > mean * 0.5 && sent[0]! < mean * 2);
  }
});

test('an engine that reports the usual pace and stalls gets few requests from entries with streams there', (t) => {
  const options = { perS: poisson(0.5), entryCount: 4 };
  const before = figures(options);
  const { shareOnTime, sent } = figures({ ...options, stallsAtMs: RUN_MS / 2 });
  t.log({ shareOnTime, sent, undisturbed: before.sent });
  // Half of its requests arrive before it stalls.
  t.true(sent[0]! < before.sent[0]! * 0.65);
  t.true(shareOnTime >= 0.97);
});

const SERVERS = {
  entryCount: ENTRIES,
  servers: 4,
  slots: 6,
  queue: 24,
  serviceMs: 68.6,
  targetMs: 331,
  deadlineMs: 4000,
};
const SLOW_MS = 100;

test('hosts that become 2.5 times slower for 100 ms make few answers of a plain service late', (t) => {
  const paceAt = (server: number, atMs: Ms) =>
    (Math.floor(atMs / SLOW_MS) * 7 + server * 3) % 10 < 2 ? 2.5 : 1;
  const inTime = (isLoadAware: boolean, perS: number) => {
    const world = new PlainWorld({ ...SERVERS, perS: () => perS, seed: 1, isLoadAware, paceAt });
    world.run(20_000);
    return world.inTime / world.asked;
  };
  for (const [perS, minShare] of [
    [147, 0.999],
    [250, 0.975],
  ] as const) {
    const shares = { forecast: inTime(true, perS), leastLoad: inTime(false, perS) };
    t.log(perS, shares);
    t.true(shares.forecast >= minShare);
    t.true(shares.forecast >= shares.leastLoad);
  }
});

test('the service time is learnt free of the pace, and the expected answer time includes it', (t) => {
  const fleet = fleetWith({ a: 10 });
  const state = stateOf(fleet, 'a');
  state.pace = { average: 2, reported: 2, reportedAtMs: 0 };
  fleet.recordServiceTime(state, 140, 0, 0);
  t.is(state.serviceMs, 70);
  // 11 requests at 8 slots take 1.375 times 70 ms at the usual pace, and twice that at this one.
  t.false(fleet.mayJoin(state, 0, 200, 0));
  t.true(fleet.mayJoin(state, 0, 220, 0));
  state.pace = { average: 1, reported: 1, reportedAtMs: 0 };
  t.true(fleet.mayJoin(state, 0, 200, 0));
});
