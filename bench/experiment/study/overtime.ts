import { baselines } from '../baselines.js';
import type { Deployment } from '../deployment.js';
import { ours } from '../ours.js';
import { asksOf, trial } from '../trial.js';
import type { Scale } from './scale.js';

const LOAD = 1.2;

/** One run of a few policies, over time. */
export function overTime(deployment: Deployment, { durationMs, seeds: [seed = 1] }: Scale) {
  const options = { deployment, seed, load: LOAD, durationMs };
  const asks = asksOf(options);
  const shown = baselines.filter(({ name }) => /expiring \+ least/.test(name));
  const runs = [ours, ...shown].map((policies) => {
    const { waits, attainedOverTime, movesOverTime } = trial(policies, options, asks);
    return { name: policies.name, waits, attainedOverTime, movesOverTime };
  });
  return { deployment: deployment.name, load: LOAD, seed, durationMs, runs };
}
