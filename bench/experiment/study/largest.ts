import type { WorkloadRequest } from '../workloadrequest.js';
import { baselines } from '../baselines.js';
import type { Deployment } from '../deployment.js';
import { corePolicies } from '../corepolicies.js';
import type { PolicySet } from '../policyset.js';
import { spreadOf } from '../spreadof.js';
import { requestsOf, trial } from '../trial.js';
import type { Scale } from './scale.js';

/** Loads of the usual mix, of which the other customers together send a fraction of 0.4. */
const LOADS = [0.25, 0.5, 1];
const TIMES_SHARE = 10;

/** Returns the factor by which the largest customer's load grows to ten times its share of the hardware. */
function factorOf({ document, largestFraction }: Deployment, load: number): number {
  const [first] = document.customers;
  const shares = document.customers.reduce((sum, { share }) => sum + share, 0);
  return (TIMES_SHARE * (first!.share / shares)) / (load * largestFraction);
}

function attainmentOfOthers(
  policies: PolicySet,
  deployment: Deployment,
  load: number,
  scale: Scale,
) {
  const { seeds, durationMs } = scale;
  const first = deployment.document.customers[0]!.id as string;
  const shares = seeds.map((seed) => {
    const options = { deployment, seed, load, durationMs };
    const largestFactor = factorOf(deployment, load);
    const requests = requestsOf({ ...options, largestFactor });
    const others = (keep: (ask: WorkloadRequest) => boolean) => {
      const { customers } = trial(policies, options, requests.filter(keep));
      let attained = 0;
      let weight = 0;
      for (const [name, share] of Object.entries(customers)) {
        if (name === first) continue;
        attained += share.attained;
        weight += share.weight;
      }
      return attained / weight;
    };
    const alone = others(({ customer }) => customer !== first);
    const beside = others(() => true);
    return { alone, beside, kept: beside / alone };
  });
  return {
    alone: spreadOf(shares.map(({ alone }) => alone)),
    beside: spreadOf(shares.map(({ beside }) => beside)),
    kept: spreadOf(shares.map(({ kept }) => kept)),
  };
}

/** Compares the other customers' attainment alone with that beside the largest customer at ten times its share. */
export function largest(deployment: Deployment, scale: Scale) {
  const baseline = baselines.find(
    ({ name }) => name === 'fifo, expiring + least connections + static',
  )!;
  const rows = LOADS.flatMap((load) =>
    [corePolicies, baseline].map((policies) => ({
      load,
      name: policies.name,
      ...attainmentOfOthers(policies, deployment, load, scale),
    })),
  );
  return { deployment: deployment.name, timesShare: TIMES_SHARE, rows };
}
