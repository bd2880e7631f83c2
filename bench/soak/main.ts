import { parseArgs } from 'node:util';
import { join } from 'node:path';
import { entryCommand } from './entrycommand.js';
import { knownFaults } from './knownfaults.js';
import { soak } from './soak.js';

const MS_PER_S = 1000;

const { values } = parseArgs({
  options: {
    /** The first seed; derived from the time of day by default. */
    seed: { type: 'string', default: String(Date.now() % 1_000_000) },
    /** Number of consecutive seeds to run, one after the other. */
    seeds: { type: 'string', default: '1' },
    /** Duration of each run in seconds. */
    for: { type: 'string', default: '30' },
    entries: { type: 'string' },
    callers: { type: 'string' },
    /** Comma-separated names of the faults to inject; by default all that the seed's range includes. */
    faults: { type: 'string' },
    /** Longest interval between two faults, in ms; 900 by default, 6,000 with the uneven load. */
    gap: { type: 'string' },
    /** Time in ms that is added to each time bound, for a busy machine. */
    slack: { type: 'string', default: '1500' },
    /** Runs the small entry of badentry.ts with this defect in place of the real entry. */
    defect: { type: 'string' },
    /** Adds poison requests and suspended hosts; the default for seeds from 20,000 on. */
    harsh: { type: 'boolean' },
    /** Configures customers, and callers send keys; the default for seeds from 30,000 on. */
    keyed: { type: 'boolean' },
    /** Streams last for some time, and callers take them up; the default for seeds from 70,000 on. */
    releasing: { type: 'boolean' },
    /** Prompts name their parts, and requests with deadly parts come; the default for seeds from 80,000 on. */
    parts: { type: 'boolean' },
    /** Servers have slots and paces, and customers compete for them; the default for seeds from 90,000 on. */
    uneven: { type: 'boolean' },
    /** Configurations withdraw, move and change routes; the default for seeds from 100,000 on. */
    changing: { type: 'boolean' },
    /** New connections a second; most go to few entries by turns. The default for seeds from 110,000 on. */
    herd: { type: 'string' },
    /** Multiple of these while most go to few entries. */
    factor: { type: 'string', default: '3' },
    /** Number of entries that most of them go to. */
    hot: { type: 'string', default: '1' },
    /** Percentage of these requests that are sent on an open connection if one is idle. */
    reuse: { type: 'string', default: '0' },
    /** Callers on raw sockets, whose unanswered requests are judged; 16 for seeds from 120,000 to 129,999. */
    sockets: { type: 'string' },
    /** Part of a core that each entry may use. */
    share: { type: 'string' },
    engines: { type: 'string' },
    /** Slots that engines announce. */
    slots: { type: 'string' },
    /** Connections that each server accepts. */
    connections: { type: 'string' },
    /** Pause between the events of streams, in ms. */
    pause: { type: 'string' },
    /** Entries on suspended hosts use a clock that does not advance during the suspension. */
    steady: { type: 'boolean', default: false },
    /** Prints the last log lines of the entries if a promise was broken. */
    lines: { type: 'boolean', default: false },
  },
});

function numberOf(text: string | undefined): number | undefined {
  return text === undefined ? undefined : Number(text);
}

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
    entryCount: numberOf(values.entries),
    callerCount: numberOf(values.callers),
    faultNames,
    longestGapMs: numberOf(values.gap),
    slackMs: Number(values.slack),
    isHarsh: values.harsh,
    isKeyed: values.keyed,
    isReleasing: values.releasing,
    hasParts: values.parts,
    isUneven: values.uneven,
    isChanging: values.changing,
    isSteady: values.steady,
    herd:
      values.herd === undefined
        ? undefined
        : {
            perS: Number(values.herd),
            factor: Number(values.factor),
            hotCount: Number(values.hot),
            reusePercent: Number(values.reuse),
          },
    plannedCallerCount: numberOf(values.sockets),
    cpuShare: numberOf(values.share),
    engineCount: numberOf(values.engines),
    maxConnections: numberOf(values.connections),
    engineSlots: numberOf(values.slots),
    eventGapMs: numberOf(values.pause),
  });
  const isBroken = result.breaches.length > 0;
  if (isBroken) failed += 1;
  const summary = { ...result, faults: isBroken ? faults : faults.length };
  console.log(JSON.stringify(values.lines && isBroken ? { ...summary, lines } : summary));
}
process.exit(failed > 0 ? 1 : 0);
