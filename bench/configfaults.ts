import fc from 'fast-check';
import type { Bench } from './bench.js';
import { race } from './configrace/race.js';
import { races } from './configrace/races.js';

const DEFAULT_RACES = 1000;

/** Checks the property of test/acceptance.test.ts over many generated races. Arguments: number of races, seed. */
export const configFaults: Bench = async ([count = String(DEFAULT_RACES), seed = '1']) => {
  const counts: Record<string, number> = {};
  let attempts = 0;
  const violations: string[] = [];
  for (const options of fc.sample(races, { numRuns: Number(count), seed: Number(seed) })) {
    const report = await race(options);
    violations.push(...report.violations);
    for (const [type, times] of Object.entries(report.told)) {
      counts[type] = (counts[type] ?? 0) + times;
      attempts += times;
    }
  }
  return { races: Number(count), attempts, told: counts, violations };
};
