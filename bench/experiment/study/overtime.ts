import { baselines } from '../baselines.js';
import type { Deployment } from '../deployment.js';
import { corePolicies } from '../corepolicies.js';
import { requestsOf, trial } from '../trial.js';
import type { Scale } from './scale.js';

const LOAD = 1.2;

/** Runs a few policies once and returns their results over time. */
export function overTime(deployment: Deployment, { durationMs, seeds: [seed = 1] }: Scale) {
  const options = { deployment, seed, load: LOAD, durationMs };
  const requests = requestsOf(options);
  const shown = baselines.filter(({ name }) => /expiring \+ least/.test(name));
  const runs = [corePolicies, ...shown].map((policies) => {
    const { waits, attainedOverTime, movesOverTime } = trial(policies, options, requests);
    return { name: policies.name, waits, attainedOverTime, movesOverTime };
  });
  return { deployment: deployment.name, load: LOAD, seed, durationMs, runs };
}
