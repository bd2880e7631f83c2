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

/** The policies of one run. */
export interface Policies {
  readonly queue: MakeQueue;
  readonly route: MakeRoute;
  readonly placement: MakePlacement;
}

/** A series: one workload, drawn again for each seed. */
interface SeriesOptions {
  readonly deployment: Deployment;
  /** Offered load as a multiple of the hardware's capacity. */
  readonly load: number;
  readonly faults?: readonly Fault[];
}

/** Returns the median and range over the seeds. */
function spreadOf(values: readonly number[], digits: number): string {
  const sorted = [...values].sort((a, b) => a - b);
  const text = (value: number | undefined) => (value ?? 0).toFixed(digits);
  return `${text(sorted[Math.floor(sorted.length / 2)])} (${text(sorted[0])} to ${text(sorted.at(-1))})`;
}

function quantile(sorted: readonly number[], fraction: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

/** Summarizes the longest times without an answer over all models and seeds, in seconds. */
function summarizeGaps(gapsMs: readonly number[]) {
  const sorted = [...gapsMs].sort((a, b) => a - b).map((ms) => ms / MS_PER_SECOND);
  const overMinute = sorted.filter((seconds) => seconds > 60).length;
  return {
    p50Seconds: Math.round(quantile(sorted, 0.5)),
    p95Seconds: Math.round(quantile(sorted, 0.95)),
    worstSeconds: Math.round(sorted.at(-1) ?? 0),
    overMinute,
    modelsAndSeeds: sorted.length,
  };
}

/** Runs every set of policies on the same workloads: 5 seeds of ten minutes each. */
export function series(
  { deployment, load, faults }: SeriesOptions,
  sets: Readonly<Record<string, Policies>>,
): object {
  const results = Object.fromEntries(
    Object.keys(sets).map((name) => [
      name,
      { attained: [] as number[], moves: [] as number[], answerGapsMs: [] as number[] },
    ]),
  );
  for (const seed of SEEDS) {
    const options = { seed, load, durationMs: DURATION_MS, curve: defaultCurve };
    const requests = workload(deployment, options);
    for (const [name, policies] of Object.entries(sets)) {
      const run = new World({ ...options, ...policies, deployment, requests, faults }).run();
      const result = results[name]!;
      result.attained.push(run.attained / run.weight);
      result.moves.push(run.moves);
      for (const { id } of deployment.document.models) {
        result.answerGapsMs.push(run.longestAnswerGapMs[id] ?? DURATION_MS);
      }
    }
  }
  const rows = Object.entries(results).map(([name, { attained, moves, answerGapsMs }]) => [
    name,
    {
      attained: spreadOf(attained, 3),
      moves: spreadOf(moves, 0),
      silence: summarizeGaps(answerGapsMs),
    },
  ]);
  return { deployment: deployment.name, load, ...Object.fromEntries(rows) };
}
