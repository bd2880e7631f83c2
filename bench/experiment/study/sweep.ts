import { baselines } from '../baselines.js';
import { bound } from '../bound.js';
import type { Deployment } from '../deployment.js';
import { corePolicies } from '../corepolicies.js';
import { spreadOf } from '../spreadof.js';
import { requestsOf, trial, type TrialResult } from '../trial.js';
import type { Scale } from './scale.js';

const POLICIES = [corePolicies, ...baselines];

function urgentInTimeShare({ priorities }: TrialResult): number {
  const { urgent } = priorities;
  return urgent ? urgent.inTime / urgent.asked : 1;
}

/** Runs all policies on the same requests at one load. */
function atLoad(deployment: Deployment, load: number, { seeds, durationMs }: Scale) {
  const runs = seeds.map((seed) => {
    const options = { deployment, seed, load, durationMs };
    const requests = requestsOf(options);
    const results = POLICIES.map((policies) => trial(policies, options, requests));
    return { results, bound: bound(deployment, requests, durationMs) };
  });
  const rows = POLICIES.map(({ name }, index) => {
    const results = runs.map((run) => run.results[index]!);
    const of = (pick: (result: TrialResult) => number) => spreadOf(results.map(pick));
    return {
      name,
      attainmentPerAcceleratorMinute: of((result) => result.attainmentPerAcceleratorMinute),
      attainedShare: of((result) => result.attained / result.weight),
      urgentInTime: of(urgentInTimeShare),
      paceKept: of((result) => result.paceKept),
      moves: of((result) => result.moves),
    };
  });
  const best = [...rows.slice(1)].sort(
    (a, b) => b.attainedShare.median - a.attainedShare.median,
  )[0]!;
  const bestIndex = rows.indexOf(best);
  const plainIndex = POLICIES.findIndex(({ name }) => name.startsWith('fifo + least'));
  const ratioTo = (index: number) =>
    spreadOf(runs.map(({ results }) => results[0]!.attained / results[index]!.attained));
  return {
    load,
    best: best.name,
    ratioToBest: ratioTo(bestIndex),
    ratioToPlainFifo: ratioTo(plainIndex),
    ofClairvoyant: spreadOf(runs.map((run) => run.results[0]!.attained / run.bound.clairvoyant)),
    bestOfClairvoyant: spreadOf(
      runs.map((run) => run.results[bestIndex]!.attained / run.bound.clairvoyant),
    ),
    ofFluidAtPace: spreadOf(runs.map((run) => run.results[0]!.attained / run.bound.atPace)),
    rows,
  };
}

/** Highest load up to which 99% of the urgent requests are in time, as the median over the seeds. */
function urgentLoad(levels: readonly ReturnType<typeof atLoad>[], name: string): number {
  let highest = 0;
  for (const { load, rows } of levels) {
    const row = rows.find((other) => other.name === name);
    if (!row || row.urgentInTime.median < 0.99) break;
    highest = load;
  }
  return highest;
}

/** Compares attainment with every baseline, from low load to twice the hardware's capacity. */
export function sweep(deployment: Deployment, scale: Scale) {
  const levels = scale.loads.map((load) => atLoad(deployment, load, scale));
  const urgentLoads = POLICIES.map(({ name }) => ({ name, load: urgentLoad(levels, name) }));
  return { deployment: deployment.name, levels, urgentLoads };
}
