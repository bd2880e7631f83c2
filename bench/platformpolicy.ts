import type { Bench } from './bench.js';
import { deployments } from './platformpolicy/deployment.js';
import { World, type StudyDay, type StudyResult } from './platformpolicy/world.js';

const DAY_MS = 40_000;
const SEEDS = 30;

/** Days by what happens: nothing, one slow shift, three in a row, and engines lost in a burst. */
const DAYS: Readonly<Record<string, StudyDay>> = {
  steady: { shifts: [] },
  slow: { shifts: [{ atMs: 8000, forMs: 6000 }] },
  shifting: {
    shifts: [
      { atMs: 1000, forMs: 6000 },
      { atMs: 19_000, forMs: 4000 },
      { atMs: 23_000, forMs: 4000 },
    ],
  },
  crowded: {
    shifts: [
      { atMs: 1000, forMs: 5400 },
      { atMs: 14_000, forMs: 6000 },
    ],
    losses: [{ atMs: 5800, forMs: 2000, count: 3 }],
    bursts: [{ atMs: 800, forMs: 8000, factor: 1.5 }],
  },
};

function mean(results: readonly StudyResult[], of: (one: StudyResult) => number): number {
  const sum = results.reduce((total, one) => total + of(one), 0);
  return Math.round((sum / results.length) * 10_000) / 10_000;
}

/** Placement of models on the prepared platform under shifting demand: the same cores, no network. */
export const platformPolicy: Bench = ([seeds = String(SEEDS)]) => {
  const table: Record<string, object> = {};
  for (const [site, make] of Object.entries(deployments)) {
    for (const [name, day] of Object.entries(DAYS)) {
      const results: StudyResult[] = [];
      for (let seed = 1; seed <= Number(seeds); seed += 1) {
        results.push(new World(make(), day, seed).run(DAY_MS));
      }
      table[`${site} ${name}`] = {
        worth: mean(results, ({ worth }) => worth),
        refused: mean(results, ({ refused }) => refused),
        late: mean(results, ({ late }) => late),
        loads: mean(results, ({ loads }) => loads),
      };
    }
  }
  return Promise.resolve(table);
};
