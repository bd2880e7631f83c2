import test from 'ava';
import { runSoak } from './support/runsoak.js';

/** Seeds that once failed stay here, each with a line on its cause; the first is a short run of everything. */
const SEEDS: readonly { readonly seed: number; readonly forS: number }[] = [
  { seed: 1, forS: 5 },
  // From 20,000 on requests that end their servers come, and hosts are suspended.
  { seed: 20_100, forS: 8 },
  // From 30,000 on customers are configured, and callers come with keys.
  { seed: 30_001, forS: 8 },
  // From 40,000 on servers name limits, leave before the list says so, and want pauses.
  { seed: 40_001, forS: 12 },
  // SIGHUP came while modules were loaded, before a handler stood.
  { seed: 1003, forS: 5 },
  // The soak's own: an outgoing connection had taken the port of an entry that was down.
  { seed: 4009, forS: 6 },
  // The soak's own: a proxy passed a reset on as an ordinary end, so that a cut answer without a length was whole.
  { seed: 3000, forS: 7 },
  // A second SIGTERM during a planned stop ended the process at once.
  { seed: 5008, forS: 10 },
];
/** Bounds in time are judged by hand, on a machine that does nothing else: here they only catch what hangs. */
const SLACK_MS = '8000';

for (const { seed, forS } of SEEDS) {
  test.serial(`the promises hold under faults and signals, seed ${seed}`, async (t) => {
    const { breaches, answered, faults } = await runSoak(
      ...['--seed', String(seed), '--for', String(forS), '--slack', SLACK_MS],
    );
    t.deepEqual(breaches, [], JSON.stringify(faults));
    t.true(answered > 0);
  });
}
