import { RateWorld } from '../test/support/rateworld.js';
import type { Bench } from './bench.js';

const ENTRY_COUNTS = [5, 25, 68, 520];
const LIMITS_PER_S = [0.2, 1, 2.3, 10, 50];
const SEEDS = [1, 2];
const FOR_S = 30;
/** Times the limit of one upstream that is asked for, of two; not less than the second figure a second. */
const PRESS = 3;
const LEAST_PER_S = 20;

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

async function measure(way: 'slots' | 'parts', entryCount: number, perS: number): Promise<object> {
  let fullest = 0;
  let used = Infinity;
  let callsPerS = 0;
  for (const seed of SEEDS) {
    const askedPerS = Math.max(LEAST_PER_S, PRESS * perS);
    const world = new RateWorld({ entryCount, limits: [perS, perS], askedPerS, method: way, seed });
    await world.run(FOR_S * 1000);
    fullest = Math.max(fullest, world.fullestWindow(0), world.fullestWindow(1));
    used = Math.min(used, world.used());
    callsPerS = Math.max(callsPerS, world.callCount / FOR_S);
  }
  const [window, share] = [round(fullest), round(used)];
  return { way, entryCount, perS, window, used: share, callsPerS: Math.round(callsPerS) };
}

/**
 * Limits of upstreams kept by slots of the holder and by equal parts at each entry, in virtual time: the fullest window as
 * a part of what is borne, the part of the limits that was used, calls between entries a second; the worse of two seeds.
 */
export const sharedRate: Bench = async () => {
  const rows: object[] = [];
  for (const way of ['slots', 'parts'] as const) {
    for (const entryCount of ENTRY_COUNTS) {
      for (const perS of LIMITS_PER_S) rows.push(await measure(way, entryCount, perS));
    }
  }
  return { rows };
};
