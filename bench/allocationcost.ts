import type { ModelId, UpstreamId } from '../src/base/index.js';
import { Plan, type PlanInput } from '../src/core/allocation/index.js';
import type { Bench } from './bench.js';

const SIZES: readonly { readonly engines: number; readonly models: number }[] = [
  { engines: 8, models: 26 },
  { engines: 28, models: 85 },
  { engines: 65, models: 171 },
  { engines: 250, models: 400 },
  { engines: 1000, models: 1200 },
];
const ROUNDS = 5;
const PLACES = 3;
/** Models that take most of the requests, and which part of the engines holds the first of them. */
const BUSY = 4;
const FIRST_SHARE = 0.3;
const MB = 70_000;

function modelsOf(
  count: number,
): ReadonlyMap<
  ModelId,
  PlanInput['engine']['models'] extends ReadonlyMap<ModelId, infer Spec> ? Spec : never
> {
  return new Map(
    Array.from({ length: count }, (_, at) => {
      const id = `m${at}` as ModelId;
      const times = { loadMs: 5800, diskLoadMs: 1300, warmLoadMs: 900 };
      return [id, { id, sizeMb: MB, adapterCount: 0, adapterSizeMb: 0, ...times }];
    }),
  );
}

/** Engines with busy models on some and rare ones on the rest, after demand has moved on to the next four. */
function inputOf(engines: number, count: number): PlanInput {
  const models = modelsOf(count);
  const names = [...models.keys()];
  const upstreams = Array.from({ length: engines }, (_, at) => {
    const busy = names[at < engines * FIRST_SHARE ? 0 : at % BUSY]!;
    const rare = [at * 2, at * 2 + 1].map((one) => names[BUSY + (one % (count - BUSY))]!);
    const held = [...new Set([busy, ...rare])].slice(0, PLACES);
    const placed = held.map((model) => ({
      model,
      phase: 'ready' as const,
      ageMs: 60_000,
      adapters: new Set<string>(),
    }));
    const none = new Set<ModelId>();
    const id = `u${at}` as UpstreamId;
    return { id, slots: 12, placed, isBusy: at % 3 === 0, warm: none, onDisk: none, load: 0 };
  });
  const quiet = { waiting: 0, missed: 0, adaptersInUse: 0, absentMs: 0, idleMs: 500 };
  const demand = new Map(
    names.map((model, at) => {
      const isBusy = at >= BUSY && at < BUSY * 2;
      const perSecond = isBusy ? engines * 2 : 0.2;
      return [model, { ...quiet, perSecond, concurrency: perSecond * 0.7 }];
    }),
  );
  const engine = { weightsMb: 220_000, adapterSlots: 8, loadsPerSecond: engines / 5, models };
  return {
    engine,
    upstreams,
    demand,
    isDemandKnown: true,
    promptsPerPause: 9,
    coldLoadsLeft: engines,
  };
}

/** Work of one plan of places, by engines and models: the first, whose code is not compiled yet, and the best of five. */
export const allocationCost: Bench = () => {
  const table: Record<string, object> = {};
  for (const { engines, models } of SIZES) {
    const tookMs: number[] = [];
    let longestStepMs = 0;
    let moves = 0;
    for (let round = 0; round < ROUNDS; round += 1) {
      const plan = new Plan(inputOf(engines, models));
      const fromMs = performance.now();
      for (let isDone = false; !isDone;) {
        const stepFromMs = performance.now();
        isDone = plan.step();
        longestStepMs = Math.max(longestStepMs, performance.now() - stepFromMs);
      }
      tookMs.push(performance.now() - fromMs);
      moves = plan.moves.length;
    }
    const round = (ms: number) => Math.round(ms * 100) / 100;
    table[`${engines} engines, ${models} models`] = {
      firstMs: round(tookMs[0]!),
      bestMs: round(Math.min(...tookMs)),
      longestStepMs: round(longestStepMs),
      moves,
    };
  }
  return Promise.resolve(table);
};
