import { RateWorld } from '../test/support/rateworld.js';
import type { Bench } from './bench.js';

const ENTRY_COUNTS = [5, 25, 68, 520];
const LIMITS_PER_S = [0.2, 1, 2.3, 10, 50];
const SEEDS = [1, 2];
const DURATION_S = 30;
/** Demand as a multiple of one upstream's limit (there are two upstreams), but at least `MIN_ASKED_PER_S`. */
const OVERLOAD_FACTOR = 3;
const MIN_ASKED_PER_S = 20;

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

async function measure(way: 'slots' | 'parts', entryCount: number, perS: number): Promise<object> {
  let fullest = 0;
  let used = Infinity;
  let callsPerS = 0;
  for (const seed of SEEDS) {
    const askedPerS = Math.max(MIN_ASKED_PER_S, OVERLOAD_FACTOR * perS);
    const world = new RateWorld({ entryCount, limits: [perS, perS], askedPerS, method: way, seed });
    await world.run(DURATION_S * 1000);
    fullest = Math.max(fullest, world.fullestWindow(0), world.fullestWindow(1));
    used = Math.min(used, world.used());
    callsPerS = Math.max(callsPerS, world.callCount / DURATION_S);
  }
  const [window, share] = [round(fullest), round(used)];
  return { way, entryCount, perS, window, used: share, callsPerS: Math.round(callsPerS) };
}

/**
 * Compares slots granted by the holder with equal parts at each entry, in virtual time: the fullest window as a
 * fraction of the tolerated requests, the used fraction of the limits, and calls between entries per second.
 * Each figure is the worse of two seeds.
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
