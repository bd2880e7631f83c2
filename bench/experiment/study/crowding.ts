import { defaultCurve } from '../../../standin/index.js';
import type { Ask } from '../ask.js';
import { baselines } from '../baselines.js';
import { costMs, prefixTokensOf } from '../cost.js';
import type { Deployment } from '../deployment.js';
import { ours } from '../ours.js';
import type { PolicySet } from '../policyset.js';
import { spreadOf } from '../spreadof.js';
import { asksOf, trial } from '../trial.js';
import type { Scale } from './scale.js';

const LONG_LOAD = 2;
/** Load of the whole mix, of which the urgent requests are kept. */
const LOADS = [1, 2, 3, 4, 5];

const isUrgent = ({ kind, model }: Ask) => kind.priority === 'urgent' && model !== '';
const isUrgentOrLong = (ask: Ask) => isUrgent(ask) || ask.kind.longJob === true;

/** Part of the engines' work that is for long jobs in the usual mix. */
function longPart({ document, traffic }: Deployment): number {
  let long = 0;
  let all = 0;
  for (const one of traffic) {
    if (one.serviceMs > 0) continue;
    const prefixTokens = prefixTokensOf(one.promptTokens);
    const cost = one.part * costMs(defaultCurve, { ...one, prefixTokens });
    all += cost;
    if (document.kinds.find(({ name }) => name === one.kind)?.longJob) long += cost;
  }
  return long / all;
}

function urgentShares(
  policies: PolicySet,
  deployment: Deployment,
  load: number,
  { seeds, durationMs }: Scale,
) {
  const longFactor = LONG_LOAD / (load * longPart(deployment));
  const shares = seeds.map((seed) => {
    const options = { deployment, seed, load, durationMs, longFactor };
    const asks = asksOf(options);
    const inTime = (keep: (ask: Ask) => boolean) => {
      const { urgent } = trial(policies, options, asks.filter(keep)).priorities;
      return urgent ? urgent.inTime / urgent.asked : 1;
    };
    return { alone: inTime(isUrgent), crowded: inTime(isUrgentOrLong) };
  });
  return {
    alone: spreadOf(shares.map(({ alone }) => alone)),
    crowded: spreadOf(shares.map(({ crowded }) => crowded)),
  };
}

/** Urgent work alone, and beside long jobs that offer twice what the hardware can do. */
export function crowding(deployment: Deployment, scale: Scale) {
  const baseline = baselines.find(
    ({ name }) => name === 'fifo, expiring + least connections + static',
  )!;
  const rows = LOADS.flatMap((load) =>
    [ours, baseline].map((policies) => ({
      load,
      name: policies.name,
      ...urgentShares(policies, deployment, load, scale),
    })),
  );
  return { deployment: deployment.name, longLoad: LONG_LOAD, rows };
}
