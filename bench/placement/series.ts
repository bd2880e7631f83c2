import { defaultCurve } from '../../standin/index.js';
import {
  World,
  workload,
  type Deployment,
  type Fault,
  type MakePlacement,
  type MakeQueue,
  type MakeRoute,
} from '../experiment/index.js';

const SEEDS = [1, 2, 3, 4, 5];
const DURATION_MS = 600_000;
const MS_PER_SECOND = 1_000;

/** What meets one workload. */
export interface Policies {
  readonly queue: MakeQueue;
  readonly route: MakeRoute;
  readonly placement: MakePlacement;
}

/** One series: the same workload, drawn anew for each seed. */
interface SeriesOptions {
  readonly deployment: Deployment;
  /** 1 offers what the hardware can do. */
  readonly load: number;
  readonly faults?: readonly Fault[];
}

/** Median and range over the seeds. */
function spreadOf(values: readonly number[], digits: number): string {
  const sorted = [...values].sort((a, b) => a - b);
  const text = (value: number | undefined) => (value ?? 0).toFixed(digits);
  return `${text(sorted[Math.floor(sorted.length / 2)])} (${text(sorted[0])} to ${text(sorted.at(-1))})`;
}

function quantile(sorted: readonly number[], part: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
}

/** Longest times without an answer, over all models and seeds, in seconds. */
function silenceOf(silencesMs: readonly number[]) {
  const sorted = [...silencesMs].sort((a, b) => a - b).map((ms) => ms / MS_PER_SECOND);
  const overMinute = sorted.filter((seconds) => seconds > 60).length;
  return {
    p50Seconds: Math.round(quantile(sorted, 0.5)),
    p95Seconds: Math.round(quantile(sorted, 0.95)),
    worstSeconds: Math.round(sorted.at(-1) ?? 0),
    overMinute,
    modelsAndSeeds: sorted.length,
  };
}

/** Runs every set of policies over the same workloads: 5 seeds of ten minutes each. */
export function series(
  { deployment, load, faults }: SeriesOptions,
  sets: Readonly<Record<string, Policies>>,
): object {
  const results = Object.fromEntries(
    Object.keys(sets).map((name) => [
      name,
      { attained: [] as number[], moves: [] as number[], silences: [] as number[] },
    ]),
  );
  for (const seed of SEEDS) {
    const options = { seed, load, durationMs: DURATION_MS, curve: defaultCurve };
    const asks = workload(deployment, options);
    for (const [name, policies] of Object.entries(sets)) {
      const run = new World({ ...options, ...policies, deployment, asks, faults }).run();
      const result = results[name]!;
      result.attained.push(run.attained / run.weight);
      result.moves.push(run.moves);
      for (const { id } of deployment.document.models) {
        result.silences.push(run.longestSilenceMs[id] ?? DURATION_MS);
      }
    }
  }
  const told = Object.entries(results).map(([name, { attained, moves, silences }]) => [
    name,
    {
      attained: spreadOf(attained, 3),
      moves: spreadOf(moves, 0),
      silence: silenceOf(silences),
    },
  ]);
  return { deployment: deployment.name, load, ...Object.fromEntries(told) };
}
