import test from 'ava';
import { runSoak } from './support/runsoak.js';

/** Seeds that once failed stay here, each with a line on its cause. */
const SEEDS = [
  // A short run of everything.
  1,
];
/** Bounds in time are judged by hand, on a machine that does nothing else: here they only catch what hangs. */
const SLACK_MS = '8000';

for (const seed of SEEDS) {
  test.serial(`the promises hold under faults and signals, seed ${seed}`, async (t) => {
    const { breaches, answered, faults } = await runSoak(
      ...['--seed', String(seed), '--for', '6', '--slack', SLACK_MS],
    );
    t.deepEqual(breaches, [], JSON.stringify(faults));
    t.true(answered > 0);
  });
}
