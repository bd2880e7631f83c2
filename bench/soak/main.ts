import { parseArgs } from 'node:util';
import { entryCommand } from './entrycommand.js';
import { soak } from './soak.js';

const MS_PER_S = 1000;

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: String(Date.now() % 1_000_000) },
    seeds: { type: 'string', default: '1' },
    for: { type: 'string', default: '30' },
    entries: { type: 'string', default: '3' },
    callers: { type: 'string', default: '24' },
    lines: { type: 'boolean', default: false },
  },
});

let failed = 0;
for (let at = 0; at < Number(values.seeds); at += 1) {
  const { lines, faults, ...result } = await soak({
    seed: Number(values.seed) + at,
    forMs: Number(values.for) * MS_PER_S,
    command: entryCommand,
    entryCount: Number(values.entries),
    callerCount: Number(values.callers),
  });
  const isBroken = result.breaches.length > 0;
  if (isBroken) failed += 1;
  const shown = { ...result, faults: isBroken ? faults : faults.length };
  console.log(JSON.stringify(values.lines && isBroken ? { ...shown, lines } : shown));
}
process.exit(failed > 0 ? 1 : 0);
