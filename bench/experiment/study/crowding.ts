import { defaultCurve } from '../../../standin/index.js';
import type { WorkloadRequest } from '../workloadrequest.js';
import { baselines } from '../baselines.js';
import { costMs, prefixTokensOf } from '../cost.js';
import type { Deployment } from '../deployment.js';
import { corePolicies } from '../corepolicies.js';
import type { PolicySet } from '../policyset.js';
import { spreadOf } from '../spreadof.js';
import { requestsOf, trial } from '../trial.js';
import type { Scale } from './scale.js';

const LONG_LOAD = 2;
/** Loads of the full mix, from which only the urgent requests are kept. */
const LOADS = [1, 2, 3, 4, 5];

const isUrgent = ({ kind, model }: WorkloadRequest) => kind.priority === 'urgent' && model !== '';
const isUrgentOrLong = (ask: WorkloadRequest) => isUrgent(ask) || ask.kind.longJob === true;

/** Returns the fraction of the engines' work that long jobs take in the usual mix. */
function longJobFraction({ document, traffic }: Deployment): number {
  let long = 0;
  let all = 0;
  for (const kindTraffic of traffic) {
    if (kindTraffic.serviceMs > 0) continue;
    const prefixTokens = prefixTokensOf(kindTraffic.promptTokens);
    const cost = kindTraffic.fraction * costMs(defaultCurve, { ...kindTraffic, prefixTokens });
    all += cost;
    if (document.kinds.find(({ name }) => name === kindTraffic.kind)?.longJob) long += cost;
  }
  return long / all;
}

function urgentShares(
  policies: PolicySet,
  deployment: Deployment,
  load: number,
  { seeds, durationMs }: Scale,
) {
  const longFactor = LONG_LOAD / (load * longJobFraction(deployment));
  const shares = seeds.map((seed) => {
    const options = { deployment, seed, load, durationMs, longFactor };
    const requests = requestsOf(options);
    const inTime = (keep: (ask: WorkloadRequest) => boolean) => {
      const { urgent } = trial(policies, options, requests.filter(keep)).priorities;
      return urgent ? urgent.inTime / urgent.asked : 1;
    };
    return { alone: inTime(isUrgent), crowded: inTime(isUrgentOrLong) };
  });
  return {
    alone: spreadOf(shares.map(({ alone }) => alone)),
    crowded: spreadOf(shares.map(({ crowded }) => crowded)),
  };
}

/** Compares urgent requests alone with urgent requests beside long jobs at twice the hardware's capacity. */
export function crowding(deployment: Deployment, scale: Scale) {
  const baseline = baselines.find(
    ({ name }) => name === 'fifo, expiring + least connections + static',
  )!;
  const rows = LOADS.flatMap((load) =>
    [corePolicies, baseline].map((policies) => ({
      load,
      name: policies.name,
      ...urgentShares(policies, deployment, load, scale),
    })),
  );
  return { deployment: deployment.name, longLoad: LONG_LOAD, rows };
}
