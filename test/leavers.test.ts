import test from 'ava';
import { codec } from '../platform/codec.js';
import { ListWorld } from './support/listworld.js';

type Rates = ConstructorParameters<typeof ListWorld>[0]['rates'];

/** For a longer run: LIST_SEEDS=200 npx ava --timeout=20m dist/test/leavers.test.js. */
const SEEDS = Number(process.env.LIST_SEEDS ?? 3);
const DAY_MS = 60_000;
const CHANGES: Rates = { drain: 40, leave: 40 };
const SCENARIOS: Readonly<Record<string, Rates>> = {
  'nothing is disturbed': {},
  'single calls to the store fail': { failCalls: 40 },
  'watches are cut': { cutWatches: 30 },
  'the history is discarded': { compact: 10, mute: 10 },
  'writes of servers are carried out late': { writeLate: 40 },
  'servers are cut off from the store': { cutServer: 20 },
  'others overwrite records': { overwrite: 40 },
  'the store goes away': { down: 6 },
  'the entry that reads for the others is frozen': { freeze: 8 },
  'the entry that reads for the others is cut off from the store': { cutEntry: 8 },
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
    restart: 4,
  },
};

for (const [name, disturbances] of Object.entries(SCENARIOS)) {
  test(`an upstream that leaves gets no request and one that is ready is not forgotten: ${name}`, async (t) => {
    const findings: string[] = [];
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const world = new ListWorld({ seed, codec, rates: { ...CHANGES, ...disturbances } });
      await world.run(DAY_MS);
      for (const { rule, entry, server, atMs, afterMs, what } of world.findings) {
        findings.push(
          `${seed}: ${rule} ${entry} ${server} ${atMs} after ${Math.round(afterMs)} (${what})`,
        );
      }
    }
    t.deepEqual(findings, []);
  });
}
