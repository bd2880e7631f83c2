import type { ModelId, Ms } from '../../src/base/index.js';
import type { ModelSpec, ServiceSpec } from '../../src/core/routetable/index.js';

/** A deployment's engines, models and demand, as far as placement depends on them. */
export interface StudyDeployment {
  readonly engines: number;
  readonly slots: number;
  readonly engine: NonNullable<ServiceSpec['engine']>;
  /** Models whose demand moves from one to the next, and the shares of those that are busy now. */
  readonly pool: readonly ModelId[];
  readonly busyShares: readonly number[];
  readonly busyPerSecond: number;
  /** All other models together. */
  readonly rarePerSecond: number;
  /** Prompts that an engine reads in the time of a pause that is in time. */
  readonly promptsPerPause: number;
  /** Mean time of a request at an engine that is not crowded. */
  readonly meanMs: Ms;
  /** What a model's requests take, as a part of that; 1 where nothing is said. */
  readonly paces?: ReadonlyMap<ModelId, number>;
}

const MB_LARGE = 72_700;
const MB_MIDDLE = 65_100;
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

/** Of small, middle and large models in turn. */
const PACES = [1, 0.35, 1, 0.23, 1, 0.35, 0.23];

const LARGE = (count: number): number[] => Array<number>(count).fill(MB_LARGE);
const MIDDLE = (count: number): number[] => Array<number>(count).fill(MB_MIDDLE);
const SMALL = (count: number): number[] => Array<number>(count).fill(MB_SMALL);

/** Slow loads, two busy models at a time. */
function agency(): StudyDeployment {
  const sizesMb = [...LARGE(6), ...MIDDLE(2), ...SMALL(2), ...LARGE(7), ...MIDDLE(3), ...SMALL(1)];
  const models = specs(sizesMb, (sizeMb) => (sizeMb / MB_LARGE) * 4200);
  return {
    engines: 13,
    slots: 32,
    engine: { weightsMb: 200_000, adapterSlots: 5, loadsPerSecond: 3.2, models },
    pool: firstOf(models, 5),
    busyShares: [0.648, 0.352],
    busyPerSecond: 130,
    rarePerSecond: 9.2,
    promptsPerPause: 7,
    meanMs: 900,
  };
}

/** Fast loads, six busy models at a time, as many models as places. */
function reenvio(): StudyDeployment {
  const models = specs([...LARGE(17), ...MIDDLE(22)], () => 1200);
  return {
    engines: 13,
    slots: 24,
    engine: { weightsMb: 220_000, adapterSlots: 8, loadsPerSecond: 3.1, models },
    pool: firstOf(models, 15),
    busyShares: [0.326, 0.177, 0.145, 0.128, 0.116, 0.108],
    busyPerSecond: 127,
    rarePerSecond: 8.7,
    promptsPerPause: 7,
    meanMs: 700,
  };
}

/** Slow loads, four busy models at a time, a quarter more models than places. */
function large(engines: number, count: number, loadsPerSecond: number): StudyDeployment {
  const sizesMb = [...LARGE(Math.ceil(count / 2)), ...MIDDLE(Math.floor(count / 2))];
  const models = specs(sizesMb, (sizeMb) => (sizeMb / MB_LARGE) * 5800);
  return {
    engines,
    slots: 12,
    engine: { weightsMb: 220_000, adapterSlots: 8, loadsPerSecond, models },
    pool: firstOf(models, 12),
    busyShares: [0.532, 0.197, 0.148, 0.123],
    busyPerSecond: engines * 6.2,
    rarePerSecond: engines * 0.4,
    promptsPerPause: 9,
    meanMs: 700,
  };
}

/** Slow loads, six busy models at a time, and models that differ in pace by four times. */
function paced(): StudyDeployment {
  const models = specs([...LARGE(30), ...MIDDLE(47)], () => 4200);
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
    promptsPerPause: 9,
    meanMs: 1200,
    paces,
  };
}

/** The sites of two milestones at the sizes at which they are played. */
export const deployments = {
  agency,
  reenvio,
  'large twin': () => large(16, 58, 5.7),
  large: () => large(65, 171, 13),
  paced,
} as const;
