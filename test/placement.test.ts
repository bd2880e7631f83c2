import test from 'ava';
import fc from 'fast-check';
import type { ModelId, UpstreamId } from '../src/base/index.js';
import { cellsOfModel, splitCells, planCell, placementRules } from '../src/core/placement/index.js';
import type { PlannerEffect } from '../src/core/planner/index.js';
import { Fleet } from './support/fleet.js';

const SEED = 11;
const GB = 1_000_000_000;
const ZONES = ['north', 'south', 'reserve'];

function upstreams(count: number, gigabytes = 100) {
  return Array.from({ length: count }, (_, index) => ({
    id: `u${index}` as UpstreamId,
    availabilityZone: ZONES[index % ZONES.length] ?? '',
    capacityBytes: gigabytes * GB,
  }));
}

function run(fleet: Fleet, rounds: number, each: (round: number) => void = () => {}) {
  const effects: PlannerEffect[] = [];
  for (let round = 0; round < rounds; round += 1) {
    each(round);
    effects.push(...fleet.round());
  }
  return effects;
}

/** True if first-fit decreasing places every model. */
function fits(sizes: readonly number[], bins: number, capacity: number): boolean {
  const free = Array.from({ length: bins }, () => capacity);
  for (const size of [...sizes].sort((a, b) => b - a)) {
    const bin = free.findIndex((left) => left >= size);
    if (bin < 0) return false;
    free[bin] = (free[bin] ?? 0) - size;
  }
  return true;
}

const cells = fc.record({
  sizes: fc.array(fc.integer({ min: 5, max: 60 }), { minLength: 3, maxLength: 24 }),
  bins: fc.integer({ min: 2, max: 8 }),
  asks: fc.array(fc.integer({ min: 0, max: 40 }), { minLength: 24, maxLength: 24 }),
});

test('property: memory is never exceeded, models that fit are placed, and under steady demand moves end', (t) => {
  const property = fc.property(cells, ({ sizes, bins, asks }) => {
    const fleet = new Fleet(
      sizes.map((size, index) => Fleet.model(`m${index}`, size)),
      upstreams(bins),
    );
    const demand = () => sizes.forEach((_, index) => fleet.ask(`m${index}`, asks[index] ?? 0, 200));
    run(fleet, 60, demand);
    const movesBefore = fleet.moves;
    run(fleet, 20, demand);
    const isStable = fleet.moves === movesBefore;
    const held = fleet.overBytes === 0 && fleet.plannedOverBytes === 0;
    const placed = fleet.models.every(({ id }) => fleet.places(id) > 0);
    return held && isStable && (placed || !fits(sizes, bins, 100));
  });
  t.notThrows(() => fc.assert(property, { seed: SEED, numRuns: 150 }));
});

test('property: memory is never overcommitted under arbitrary demand changes and lost upstreams', (t) => {
  const step = fc.record({
    model: fc.integer({ min: 0, max: 9 }),
    perSecond: fc.integer({ min: 0, max: 200 }),
    lost: fc.option(fc.integer({ min: 0, max: 4 }), { freq: 10, nil: undefined }),
  });
  const property = fc.property(fc.array(step, { minLength: 10, maxLength: 40 }), (steps) => {
    const sizes = [10, 20, 30, 40, 15, 25, 35, 45, 12, 28];
    const fleet = new Fleet(
      sizes.map((size, index) => Fleet.model(`m${index}`, size)),
      upstreams(6),
    );
    run(fleet, 12);
    for (const { model, perSecond, lost } of steps) {
      fleet.ask(`m${model}`, perSecond, 150);
      if (lost !== undefined) fleet.lose(`u${lost}` as UpstreamId);
      fleet.round();
    }
    return fleet.overBytes === 0 && fleet.plannedOverBytes === 0;
  });
  t.notThrows(() => fc.assert(property, { seed: SEED, numRuns: 150 }));
});

test('property: every replica planned for demand gains more than its moves cost', (t) => {
  const property = fc.property(cells, fc.integer({ min: 0, max: 5_000 }), (cell, movePenalty) => {
    const models = cell.sizes.map((size, index) => Fleet.model(`m${index}`, size));
    const fleet = new Fleet(models, upstreams(cell.bins), movePenalty);
    run(fleet, 10);
    const demand = new Map(
      models.map(({ id }, index) => [
        id,
        { perSecond: (cell.asks[index] ?? 0) * 5, serviceTimeMs: 200 },
      ]),
    );
    const { upstreams: seen } = fleet.cell();
    const rules = {
      ordered: [],
      intended: [],
      recent: [],
      loadLimit: 99,
      spares: 'none' as const,
      movePenalty,
    };
    const { loads } = planCell({ models, upstreams: seen, demand, ...rules });
    return loads.every(
      ({ reason, gain, cost }) =>
        reason !== 'demand' || (cost >= movePenalty && gain > cost * placementRules.hysteresis),
    );
  });
  t.notThrows(() => fc.assert(property, { seed: SEED, numRuns: 150 }));
});

test('demand beyond one upstream causes a second replica, unless the move penalty is high', (t) => {
  const replicas = (movePenalty: number) => {
    const models = [Fleet.model('hot', 30), Fleet.model('cold', 30)];
    const fleet = new Fleet(models, upstreams(3, 60), movePenalty);
    run(fleet, 8, () => fleet.ask('hot', 150, 200));
    return fleet.places('hot' as ModelId);
  };
  t.true(replicas(1) > 1);
  t.is(replicas(1_000_000), 1);
});

test('a leaving upstream keeps models that no other one has until they are ready elsewhere', (t) => {
  const fleet = new Fleet([Fleet.model('a', 40), Fleet.model('b', 40)], upstreams(2, 80));
  run(fleet, 6);
  const [left] = [...fleet.held].find(([, held]) => held.size > 0) ?? ['u0' as UpstreamId];
  fleet.states.set(left, 'leaving');
  fleet.absences = 0;
  const effects = run(fleet, 6);
  const kept = effects.some(
    (effect) =>
      effect.type === 'place' && effect.upstream === left && effect.keepUntilPlaced.length > 0,
  );
  t.true(kept);
  t.is(fleet.absences, 0);
  const other = [...fleet.held].find(([id]) => id !== left);
  t.is(other?.[1].size, 2);
});

test('after the loss of a zone every model gets a replica again within the load limit of the weight store', (t) => {
  const models = Array.from({ length: 22 }, (_, index) => Fleet.model(`m${index}`, 25));
  const fleet = new Fleet(models, upstreams(9));
  run(fleet, 8);
  for (const { id, availabilityZone } of fleet.upstreams) {
    if (availabilityZone === 'north') fleet.lose(id);
  }
  const gone = models.filter(({ id }) => fleet.places(id) === 0).length;
  let most = 0;
  run(fleet, 10, () => {
    const loading = [...fleet.held.values()].flatMap((held) => [...held.values()]);
    most = Math.max(most, loading.filter(({ phase }) => phase === 'loading').length);
  });
  t.true(models.every(({ id }) => fleet.places(id) > 0));
  t.true(most <= 4);
  t.true(gone > 0);
});

test('cells have at most 64 upstreams and a part of every zone; demand sets how many cells plan a model', (t) => {
  const cut = splitCells(upstreams(150));
  t.deepEqual(
    cut.map((cell) => cell.length),
    [50, 50, 50],
  );
  for (const cell of cut) t.is(new Set(cell.map((member) => member.availabilityZone)).size, 3);
  t.is(cellsOfModel('m1' as ModelId, 3, 10, 800).length, 1);
  t.deepEqual([...cellsOfModel('m1' as ModelId, 3, 5_000, 800)].sort(), [0, 1, 2]);
});
