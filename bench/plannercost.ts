import { hash32 } from '../src/core/hash/index.js';
import type { Incarnation, ModelId, UpstreamId } from '../src/base/index.js';
import {
  createPlanner,
  stepPlanner,
  type Cell,
  type PlannerState,
} from '../src/core/planner/index.js';

const GB = 1_000_000_000;
const ROUNDS = 30;
const MEAN_RATE = 20;
const SIZES: readonly (readonly [upstreams: number, models: number])[] = [
  [16, 200],
  [32, 200],
  [64, 200],
  [64, 50],
  [64, 100],
];

function draw(text: string, below: number): number {
  return hash32(text) % below;
}

/** Returns the requests for a model by the end of a round. Its rate changes every ten rounds. */
function requestCountOf(index: number, round: number): number {
  let asked = 0;
  for (let at = 0; at <= round; at += 1) {
    asked += 2 * MEAN_RATE * 4 * (draw(`rate ${index} ${Math.floor(at / 10)}`, 1_000) / 1_000) ** 3;
  }
  return Math.round(asked);
}

/** A cell in steady operation: models of 10 to 60 GB, some of them busy, with demand that changes over the rounds. */
function cellOf(upstreams: number, models: number, round: number, held: PlannerState): Cell {
  const placed = held.plan?.placed ?? [];
  // Demand fills 70% of all slots unevenly, so that every round weighs additional replicas.
  const serviceTimeMs = (0.7 * upstreams * 16 * 1_000) / (models * MEAN_RATE);
  return {
    movePenalty: 1,
    loadsPerSecond: 3,
    parallelLoads: 4,
    models: Array.from({ length: models }, (_, index) => ({
      id: `m${index}` as ModelId,
      version: '1',
      weight: 1 + (index % 4),
      sizeBytes: (10 + draw(`size ${index}`, 50)) * GB * Math.min(1, (upstreams * 3) / models),
      adapters: [],
    })),
    upstreams: Array.from({ length: upstreams }, (_, index) => ({
      id: `u${index}` as UpstreamId,
      availabilityZone: `zone-${index % 3}`,
      capacityBytes: 160 * GB,
      slots: 16,
      role: 'mixed',
      state: 'usable',
      residents: placed
        .filter(({ upstream }) => upstream === `u${index}`)
        .map(({ model }) => ({ model, version: '1', phase: 'ready', adapters: [] })),
    })),
    counters: Array.from({ length: models }, (_, index) => ({
      upstream: 'u0' as UpstreamId,
      incarnation: 1 as Incarnation,
      model: `m${index}` as ModelId,
      askedCount: requestCountOf(index, round),
      refusedCount: 0,
      serviceTimeMs: requestCountOf(index, round) * serviceTimeMs,
    })),
  };
}

function measure(upstreams: number, models: number) {
  let state = createPlanner();
  const times: number[] = [];
  let loads = 0;
  let forDemand = 0;
  for (let round = 1; round <= ROUNDS * 3; round += 1) {
    const cell = cellOf(upstreams, models, round, state);
    const startedAtMs = performance.now();
    const change = stepPlanner(state, { type: 'round', cell }, round * 2_000);
    times.push(performance.now() - startedAtMs);
    state = change.state;
    for (const effect of change.effects) {
      if (effect.type !== 'moved') continue;
      loads += 1;
      if (effect.place.reason === 'demand') forDemand += 1;
    }
  }
  const last = times.slice(-ROUNDS).sort((a, b) => a - b);
  const places = state.plan?.placed.length ?? 0;
  return {
    upstreams,
    models,
    places,
    loads,
    forDemand,
    medianMs: last[Math.floor(last.length / 2)],
    worstMs: last.at(-1),
  };
}

/** Measures the time of one planner round by the number of upstreams and models. */
export function plannerCost(): Promise<object> {
  measure(16, 50);
  return Promise.resolve({
    rounds: SIZES.map(([upstreams, models]) => measure(upstreams, models)),
  });
}
