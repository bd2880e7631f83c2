import type { Bench } from './bench.js';
import { deployments } from './platformpolicy/deployment.js';
import { World, type StudyScenario, type StudyResult } from './platformpolicy/world.js';

const SCENARIO_MS = 40_000;
const SEEDS = 30;

/** Scenarios by name: constant demand, one slow shift, three shifts in a row, and engines lost during a burst. */
const SCENARIOS: Readonly<Record<string, StudyScenario>> = {
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

function mean(results: readonly StudyResult[], of: (result: StudyResult) => number): number {
  const sum = results.reduce((total, result) => total + of(result), 0);
  return Math.round((sum / results.length) * 10_000) / 10_000;
}

/** Simulates placement on the prepared platform under shifting demand, with the product's cores and no network. */
export const platformPolicy: Bench = ([seeds = String(SEEDS)]) => {
  const table: Record<string, object> = {};
  for (const [site, make] of Object.entries(deployments)) {
    for (const [name, scenario] of Object.entries(SCENARIOS)) {
      const results: StudyResult[] = [];
      for (let seed = 1; seed <= Number(seeds); seed += 1) {
        results.push(new World(make(), scenario, seed).run(SCENARIO_MS));
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
