import type { Bench } from './bench.js';
import { deployments } from './platformpolicy/deployment.js';
import { World, type Shift, type StudyResult } from './platformpolicy/world.js';

const DAY_MS = 40_000;
const SEEDS = 30;

/** Days by what shifts: none, one slow shift, and three in a row with one of them right after another. */
const DAYS: Readonly<Record<string, readonly Shift[]>> = {
  steady: [],
  slow: [{ atMs: 8000, forMs: 6000 }],
  shifting: [
    { atMs: 1000, forMs: 6000 },
    { atMs: 19_000, forMs: 4000 },
    { atMs: 23_000, forMs: 4000 },
  ],
};

function mean(results: readonly StudyResult[], of: (one: StudyResult) => number): number {
  const sum = results.reduce((total, one) => total + of(one), 0);
  return Math.round((sum / results.length) * 10_000) / 10_000;
}

/** Placement of models on the prepared platform under shifting demand: the same cores, no network. */
export const platformPolicy: Bench = ([seeds = String(SEEDS)]) => {
  const table: Record<string, object> = {};
  for (const [site, make] of Object.entries(deployments)) {
    for (const [day, shifts] of Object.entries(DAYS)) {
      const results: StudyResult[] = [];
      for (let seed = 1; seed <= Number(seeds); seed += 1) {
        results.push(new World(make(), shifts, seed).run(DAY_MS));
      }
      table[`${site} ${day}`] = {
        worth: mean(results, ({ worth }) => worth),
        refused: mean(results, ({ refused }) => refused),
        late: mean(results, ({ late }) => late),
        loads: mean(results, ({ loads }) => loads),
      };
    }
  }
  return Promise.resolve(table);
};
