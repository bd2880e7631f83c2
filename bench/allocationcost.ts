import type { ModelId, UpstreamId } from '../src/base/index.js';
import { Plan, type PlanInput } from '../src/core/allocation/index.js';
import type { Bench } from './bench.js';

interface Size {
  readonly engines: number;
  readonly models: number;
  /** True if engines differ in how long work takes there. */
  readonly hasPaces?: boolean;
}

const SIZES: readonly Size[] = [
  { engines: 8, models: 26 },
  { engines: 28, models: 85 },
  { engines: 65, models: 171 },
  { engines: 65, models: 171, hasPaces: true },
  { engines: 250, models: 400 },
  { engines: 1000, models: 1200 },
];
const PACES = [0.6, 1, 1.6];
const ROUNDS = 5;
const MODELS_PER_ENGINE = 3;
/** Number of models that take most of the requests, and the fraction of engines that hold the first of them. */
const BUSY_MODELS = 4;
const FIRST_MODEL_SHARE = 0.3;
const MODEL_MB = 70_000;

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
      return [id, { id, sizeMb: MODEL_MB, adapterCount: 0, adapterSizeMb: 0, ...times }];
    }),
  );
}

/** Engines that hold busy and rare models, after demand has shifted to the next four models. */
function inputOf({ engines, models: count, hasPaces = false }: Size): PlanInput {
  const models = modelsOf(count);
  const names = [...models.keys()];
  const upstreams = Array.from({ length: engines }, (_, at) => {
    const busy = names[at < engines * FIRST_MODEL_SHARE ? 0 : at % BUSY_MODELS]!;
    const rare = [at * 2, at * 2 + 1].map(
      (index) => names[BUSY_MODELS + (index % (count - BUSY_MODELS))]!,
    );
    const held = [...new Set([busy, ...rare])].slice(0, MODELS_PER_ENGINE);
    const placed = held.map((model) => ({
      model,
      phase: 'ready' as const,
      ageMs: 60_000,
      adapters: new Set<string>(),
    }));
    const none = new Set<ModelId>();
    const id = `u${at}` as UpstreamId;
    const pace = hasPaces ? PACES[at % PACES.length]! : 1;
    const isBusy = at % 3 === 0;
    return { id, slots: 12, pace, placed, isBusy, warm: none, onDisk: none, load: 0 };
  });
  const quiet = { waiting: 0, missed: 0, adaptersInUse: 0, absentMs: 0, idleMs: 500 };
  const demand = new Map(
    names.map((model, at) => {
      const isBusy = at >= BUSY_MODELS && at < BUSY_MODELS * 2;
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
    promptsPerGap: 9,
    coldLoadsLeft: engines,
  };
}

/** Measures an allocation plan by engines and models: the first run, with uncompiled code, and the best of five. */
export const allocationCost: Bench = () => {
  const table: Record<string, object> = {};
  for (const size of SIZES) {
    const { engines, models, hasPaces } = size;
    const tookMs: number[] = [];
    let longestStepMs = 0;
    let moves = 0;
    for (let round = 0; round < ROUNDS; round += 1) {
      const plan = new Plan(inputOf(size));
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
    table[`${engines} engines, ${models} models${hasPaces ? ', paces 0.6 to 1.6' : ''}`] = {
      firstMs: round(tookMs[0]!),
      bestMs: round(Math.min(...tookMs)),
      longestStepMs: round(longestStepMs),
      moves,
    };
  }
  return Promise.resolve(table);
};
