import test from 'ava';
import { codec } from '../platform/codec.js';
import type { StateCodec } from '../src/direct/index.js';
import { ListWorld } from './support/listworld.js';

type Rates = ConstructorParameters<typeof ListWorld>[0]['rates'];

/** For a longer run: LIST_SEEDS=200 npx ava --timeout=20m dist/test/leavers.test.js. */
const SEEDS = Number(process.env.LIST_SEEDS ?? 3);
const DAY_MS = 60_000;
/** Servers that leave in a day below which it shows nothing; half of the mean. */
const MIN_LEAVERS = 40;
const CHANGES: Rates = { drain: 40, leave: 40 };
const SCENARIOS: Readonly<Record<string, Rates>> = {
  'nothing is disturbed': {},
  'single calls to the store fail': { failCalls: 40 },
  'watches are cut': { cutWatches: 30 },
  'the history is discarded': { compact: 15 },
  'watches hear nothing and the history is discarded': { mute: 6 },
  'writes of servers are carried out late': { writeLate: 40 },
  'servers are cut off from the store': { cutServer: 20 },
  'others overwrite records': { overwrite: 40 },
  'the store goes away': { down: 6 },
  'the entry that reads for the others is frozen': { freeze: 8 },
  'the entry that reads for the others is cut off from the store': { cutEntry: 8 },
  'the entry that reads for the others is cut off from everything': { isolate: 8 },
  'entries start again': { restart: 10 },
  'everything at once': {
    failCalls: 20,
    cutWatches: 10,
    compact: 4,
    mute: 4,
    writeLate: 20,
    cutServer: 10,
    overwrite: 10,
    down: 2,
    freeze: 4,
    cutEntry: 4,
    isolate: 4,
    restart: 4,
  },
};

/** Plays seeds of a scenario and returns what was found. */
async function play(
  rates: Rates,
  options: Partial<ConstructorParameters<typeof ListWorld>[0]> = {},
): Promise<string[]> {
  const findings: string[] = [];
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const world = new ListWorld({ seed, codec, rates: { ...CHANGES, ...rates }, ...options });
    await world.run(DAY_MS);
    if (world.leaverCount < MIN_LEAVERS) findings.push(`${seed}: ${world.leaverCount} leavers`);
    for (const { rule, entry, server, atMs, afterMs, what } of world.findings) {
      const after = `after ${Math.round(afterMs)} (${what})`;
      findings.push(`${seed}: ${rule} ${entry} ${server} ${atMs} ${after}`);
    }
  }
  return findings;
}

for (const [name, disturbances] of Object.entries(SCENARIOS)) {
  test(`an upstream that leaves gets no request and one that is ready is not forgotten: ${name}`, async (t) => {
    t.deepEqual(await play(disturbances), []);
  });
}

test('the checks find removals that are held back after every failed call', async (t) => {
  const findings = await play({ failCalls: 40 }, { heartbeatMs: 0 });
  t.true(findings.some((finding) => finding.includes('leaving')));
});

test('the checks find records that take back that an upstream leaves', async (t) => {
  let startedAtMs = 0;
  const forgetful: StateCodec = {
    ...codec,
    decodeUpstream: (id, text) => {
      // Each record counts as that of a new start, so that nothing is known of it.
      startedAtMs += 1;
      const seenAtMs = startedAtMs;
      return codec.decodeUpstream(id, text).map((one) => ({ ...one, startedAtMs: seenAtMs }));
    },
  };
  const findings = await play({ writeLate: 40 }, { codec: forgetful });
  t.true(findings.some((finding) => finding.includes('leaving')));
});

test('the checks find upstreams that are dropped because their records expired in an outage', async (t) => {
  const findings = await play({ down: 6 }, { heartbeatMs: Infinity });
  t.true(findings.some((finding) => finding.includes('missing')));
});
