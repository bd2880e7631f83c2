import type { ModelId, Ms } from '../../src/base/index.js';
import type { ModelSpec, ServiceSpec } from '../../src/core/routetable/index.js';

/** Engines, models and demand of a deployment, as far as placement depends on them. */
export interface StudyDeployment {
  readonly engines: number;
  readonly slots: number;
  readonly engine: NonNullable<ServiceSpec['engine']>;
  /** Models that demand shifts between, and the demand shares of the currently busy ones. */
  readonly pool: readonly ModelId[];
  readonly busyShares: readonly number[];
  readonly busyPerSecond: number;
  /** Requests per second of all other models together. */
  readonly rarePerSecond: number;
  /** Prompts that an engine can prefill within the longest gap between tokens that is still in time. */
  readonly promptsPerGap: number;
  /** Mean request duration at an engine without load. */
  readonly meanMs: Ms;
  /** Request duration of each model as a multiple of `meanMs`; 1 by default. */
  readonly durationFactors?: ReadonlyMap<ModelId, number>;
}

const MB_LARGE = 72_700;
const MB_MEDIUM = 65_100;
const MB_SMALL = 42_700;

function specs(
  sizesMb: readonly number[],
  loadMs: (sizeMb: number) => Ms,
): ReadonlyMap<ModelId, ModelSpec> {
  const models = new Map<ModelId, ModelSpec>();
  for (const [at, sizeMb] of sizesMb.entries()) {
    const id = `m${at}` as ModelId;
    const ms = loadMs(sizeMb);
    models.set(id, {
      id,
      sizeMb,
      adapterCount: 0,
      adapterSizeMb: 0,
      loadMs: ms,
      diskLoadMs: ms / 5,
      warmLoadMs: ms / 7,
    });
  }
  return models;
}

function firstOf(models: ReadonlyMap<ModelId, ModelSpec>, count: number): readonly ModelId[] {
  return [...models.keys()].slice(0, count);
}

/** Request durations of small, medium and large models, as multiples of the mean. */
const PACES = [1, 0.35, 1, 0.23, 1, 0.35, 0.23];

const LARGE = (count: number): number[] => Array<number>(count).fill(MB_LARGE);
const MEDIUM = (count: number): number[] => Array<number>(count).fill(MB_MEDIUM);
const SMALL = (count: number): number[] => Array<number>(count).fill(MB_SMALL);

/** Slow loads, two busy models at a time. */
function agency(): StudyDeployment {
  const sizesMb = [...LARGE(6), ...MEDIUM(2), ...SMALL(2), ...LARGE(7), ...MEDIUM(3), ...SMALL(1)];
  const models = specs(sizesMb, (sizeMb) => (sizeMb / MB_LARGE) * 4200);
  return {
    engines: 13,
    slots: 32,
    engine: { weightsMb: 200_000, adapterSlots: 5, loadsPerSecond: 3.2, models },
    pool: firstOf(models, 5),
    busyShares: [0.648, 0.352],
    busyPerSecond: 130,
    rarePerSecond: 9.2,
    promptsPerGap: 7,
    meanMs: 900,
  };
}

/** Fast loads, six busy models at a time, as many models as replicas fit. */
function reenvio(): StudyDeployment {
  const models = specs([...LARGE(17), ...MEDIUM(22)], () => 1200);
  return {
    engines: 13,
    slots: 24,
    engine: { weightsMb: 220_000, adapterSlots: 8, loadsPerSecond: 3.1, models },
    pool: firstOf(models, 15),
    busyShares: [0.326, 0.177, 0.145, 0.128, 0.116, 0.108],
    busyPerSecond: 127,
    rarePerSecond: 8.7,
    promptsPerGap: 7,
    meanMs: 700,
  };
}

/** Slow loads, four busy models at a time, a quarter more models than replicas fit. */
function large(engines: number, count: number, loadsPerSecond: number): StudyDeployment {
  const sizesMb = [...LARGE(Math.ceil(count / 2)), ...MEDIUM(Math.floor(count / 2))];
  const models = specs(sizesMb, (sizeMb) => (sizeMb / MB_LARGE) * 5800);
  return {
    engines,
    slots: 12,
    engine: { weightsMb: 220_000, adapterSlots: 8, loadsPerSecond, models },
    pool: firstOf(models, 12),
    busyShares: [0.532, 0.197, 0.148, 0.123],
    busyPerSecond: engines * 6.2,
    rarePerSecond: engines * 0.4,
    promptsPerGap: 9,
    meanMs: 700,
  };
}

/** Slow loads, six busy models at a time, request durations that differ between models by a factor of four. */
function paced(): StudyDeployment {
  const models = specs([...LARGE(30), ...MEDIUM(47)], () => 4200);
  const paces = new Map<ModelId, number>();
  for (const [at, id] of [...models.keys()].entries()) paces.set(id, PACES[at % PACES.length]!);
  return {
    engines: 32,
    slots: 32,
    engine: { weightsMb: 220_000, adapterSlots: 8, loadsPerSecond: 9, models },
    pool: firstOf(models, 15),
    busyShares: [0.326, 0.177, 0.145, 0.128, 0.116, 0.108],
    busyPerSecond: 850,
    rarePerSecond: 36,
    promptsPerGap: 9,
    meanMs: 1200,
    durationFactors: paces,
  };
}

/** The deployments by name. */
export const deployments = {
  agency,
  reenvio,
  'large twin': () => large(16, 58, 5.7),
  large: () => large(65, 171, 13),
  paced,
} as const;
