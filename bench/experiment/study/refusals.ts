import { defaultCurve } from '../../../standin/index.js';
import type { Deployment } from '../deployment.js';
import { corePolicies } from '../corepolicies.js';
import { spreadOf } from '../spreadof.js';
import { requestsOf } from '../trial.js';
import { World } from '../world.js';
import type { Scale } from './scale.js';

const LOADS = [0.8, 1.2, 2];

/** Checks refusals in hindsight, and the outcome of retries after the retry-after time. */
export function refusals(deployment: Deployment, { seeds, durationMs }: Scale) {
  const rows = LOADS.map((load) => {
    const results = seeds.map((seed) => {
      const options = { deployment, seed, load, durationMs };
      const requests = requestsOf(options);
      const run = { ...corePolicies, deployment, requests, durationMs, seed, curve: defaultCurve };
      const once = new World(run).run();
      const { retried } = new World({ ...run, retriesRefused: true }).run();
      return { once, retried };
    });
    return {
      load,
      refused: spreadOf(results.map(({ once }) => once.refused / once.asked)),
      enginesReasonTrue: spreadOf(results.map(({ once }) => once.hindsight.trueShare)),
      plainReasonTrue: spreadOf(results.map(({ once }) => once.hindsight.plain.trueShare)),
      answeredWhenBack: spreadOf(
        results.map(({ retried }) => retried.answered / Math.max(1, retried.asked)),
      ),
      inTimeWhenBack: spreadOf(
        results.map(({ retried }) => retried.inTime / Math.max(1, retried.asked)),
      ),
    };
  });
  return { deployment: deployment.name, rows };
}
