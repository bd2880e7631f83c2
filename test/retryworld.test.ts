import test from 'ava';
import { RetryWorld } from './support/retryworld.js';

type Scenario = ConstructorParameters<typeof RetryWorld>[1];

/** For a longer run: RETRY_SEEDS=100 npx ava --timeout=20m dist/test/retryworld.test.js. */
const SEEDS = Number(process.env.RETRY_SEEDS ?? 2);
const ENTRY_COUNTS = [4, 5, 25, 68, 520];
const TRAFFIC_MS = 25_000;
/** Retries in a run below which it shows nothing; a tenth of the requests. */
const MIN_RETRIES = 150;

const killed = (share: number, ...times: readonly number[]) => ({
  restarts: times.map((atMs) => ({ atMs, share })),
});
const laterTrouble = (atMs: number) => (atMs < 5000 ? 0 : 0.9);
const SCENARIOS: Readonly<Record<string, Partial<Omit<Scenario, 'entryCount'>>>> = {
  'no entry restarts and no retry waits': {},
  'retries that wait for the same target': { waitShare: 1 },
  'entries that are killed twice': killed(0.6, 4000, 9000),
  'entries that are killed four times': killed(0.6, 3000, 5000, 7000, 9000),
  'entries that spend what they have saved and are killed': {
    failShare: laterTrouble,
    ...killed(0.6, 7000),
  },
  'entries that restart in turn and are killed': { rollEveryMs: 700, ...killed(0.6, 6000) },
  'entries that are added': { added: { atMs: 5000, share: 0.45 } },
  'entries that restart cut off from the lease holder': {
    cut: { atMs: 2000, share: 0.5 },
    ...killed(1, 4000),
  },
  'entries that are killed while retries wait': { waitShare: 0.5, ...killed(0.6, 4000, 9000) },
};

for (const [name, scenario] of Object.entries(SCENARIOS)) {
  test(`retries stay within the budget that all entries share: ${name}`, (t) => {
    const excesses: string[] = [];
    for (const entryCount of ENTRY_COUNTS) {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const world = new RetryWorld(seed, { entryCount, failShare: () => 0.9, ...scenario });
        const excess = world.run(TRAFFIC_MS);
        if (excess > 0) excesses.push(`${entryCount} entries, seed ${seed}: ${excess.toFixed(1)}`);
        t.true(world.retryCount >= MIN_RETRIES, `${world.retryCount} retries`);
      }
    }
    t.deepEqual(excesses, []);
  });
}
