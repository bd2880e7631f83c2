import type { Ask } from '../ask.js';
import { baselines } from '../baselines.js';
import type { Deployment } from '../deployment.js';
import { ours } from '../ours.js';
import type { PolicySet } from '../policyset.js';
import { spreadOf } from '../spreadof.js';
import { asksOf, trial } from '../trial.js';
import type { Scale } from './scale.js';

/** Load of the usual mix; the others offer 0.4 of it, together. */
const LOADS = [0.25, 0.5, 1];
const TIMES_SHARE = 10;

/** By what the largest customer's usual load has to grow to offer ten times its share of the hardware. */
function factorOf({ document, largestPart }: Deployment, load: number): number {
  const [first] = document.customers;
  const shares = document.customers.reduce((sum, { share }) => sum + share, 0);
  return (TIMES_SHARE * (first!.share / shares)) / (load * largestPart);
}

function othersAttain(policies: PolicySet, deployment: Deployment, load: number, scale: Scale) {
  const { seeds, durationMs } = scale;
  const first = deployment.document.customers[0]!.id as string;
  const shares = seeds.map((seed) => {
    const options = { deployment, seed, load, durationMs };
    const largestFactor = factorOf(deployment, load);
    const asks = asksOf({ ...options, largestFactor });
    const others = (keep: (ask: Ask) => boolean) => {
      const { customers } = trial(policies, options, asks.filter(keep));
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

/** What the other customers attain alone, and beside the largest with ten times its share. */
export function largest(deployment: Deployment, scale: Scale) {
  const baseline = baselines.find(
    ({ name }) => name === 'fifo, expiring + least connections + static',
  )!;
  const rows = LOADS.flatMap((load) =>
    [ours, baseline].map((policies) => ({
      load,
      name: policies.name,
      ...othersAttain(policies, deployment, load, scale),
    })),
  );
  return { deployment: deployment.name, timesShare: TIMES_SHARE, rows };
}
