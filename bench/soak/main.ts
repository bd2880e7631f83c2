import { parseArgs } from 'node:util';
import { join } from 'node:path';
import { entryCommand } from './entrycommand.js';
import { knownFaults } from './knownfaults.js';
import { soak } from './soak.js';

const MS_PER_S = 1000;

const { values } = parseArgs({
  options: {
    /** The first seed; a fresh one without it. */
    seed: { type: 'string', default: String(Date.now() % 1_000_000) },
    /** How many seeds to run, one after the other. */
    seeds: { type: 'string', default: '1' },
    /** Seconds of each run. */
    for: { type: 'string', default: '30' },
    entries: { type: 'string', default: '3' },
    callers: { type: 'string', default: '24' },
    /** Names of faults, parted by commas; all without it. */
    faults: { type: 'string' },
    /** Longest pause between two faults in ms. */
    gap: { type: 'string', default: '900' },
    /** What a busy machine may add to each bound, in ms. */
    slack: { type: 'string', default: '1500' },
    /** Runs a small entry with this defect in place of the real one. */
    defect: { type: 'string' },
    /** Requests that end servers come, and hosts are suspended: as all seeds from 20,000 on. */
    harsh: { type: 'boolean' },
    /** Customers are configured, and callers come with keys: as all seeds from 30,000 on. */
    keyed: { type: 'boolean' },
    /** Entries on hosts that are suspended go by a clock that stands still meanwhile. */
    steady: { type: 'boolean', default: false },
    /** Prints the last lines of the entries where a promise was broken. */
    lines: { type: 'boolean', default: false },
  },
});

const BAD_ENTRY = join(import.meta.dirname, 'badentry.js');
const { defect } = values;
const faultNames = values.faults?.split(',');
const unknown = faultNames?.filter((name) => !Object.hasOwn(knownFaults, name)) ?? [];
if (unknown.length > 0) {
  const known = Object.keys(knownFaults).join(', ');
  console.error(`Unknown faults: ${unknown.join(', ')}. Known are: ${known}.`);
  process.exit(2);
}
const command = defect === undefined ? entryCommand : [process.execPath, BAD_ENTRY, defect];

let failed = 0;
for (let at = 0; at < Number(values.seeds); at += 1) {
  const { lines, faults, ...result } = await soak({
    seed: Number(values.seed) + at,
    forMs: Number(values.for) * MS_PER_S,
    command,
    entryCount: Number(values.entries),
    callerCount: Number(values.callers),
    faultNames,
    longestGapMs: Number(values.gap),
    slackMs: Number(values.slack),
    isHarsh: values.harsh,
    isKeyed: values.keyed,
    isSteady: values.steady,
  });
  const isBroken = result.breaches.length > 0;
  if (isBroken) failed += 1;
  const shown = { ...result, faults: isBroken ? faults : faults.length };
  console.log(JSON.stringify(values.lines && isBroken ? { ...shown, lines } : shown));
}
process.exit(failed > 0 ? 1 : 0);
