import { deployments } from './deployments.js';
import { serveUntilSignal } from './serveuntilsignal.js';
import { addTallies } from './load/addtallies.js';
import { runScenario } from './runscenario.js';

/** Counts that have to be zero; any other value is a broken promise. */
const VIOLATIONS = ['lost', 'doubled', 'cut', 'falseNotRun', 'overcommits'] as const;

if (process.argv.includes('--keep')) {
  await serveUntilSignal();
  process.exit(0);
}
// The exit handler kills the children; a signal alone would leave them running.
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1));
const [first, second] = deployments;
const results = await Promise.all([runScenario(first), runScenario(second)]);
const [{ exitCodes: firstCodes, ...firstTally }, { exitCodes: secondCodes, ...secondTally }] =
  results;
console.error(`${first.name}: ${JSON.stringify(firstTally)}`);
console.error(`${second.name}: ${JSON.stringify(secondTally)}`);
const { attained, accelerators, reasons, ...counts } = addTallies(firstTally, secondTally);
const exitCodes = [...firstCodes, ...secondCodes];
const attainmentPerAccelerator = attained / accelerators;
console.log(JSON.stringify({ ...counts, attainmentPerAccelerator, exitCodes }));
const kept = VIOLATIONS.every((name) => counts[name] === 0);
const stopped = exitCodes.every((code) => code === 0);
process.exit(kept && stopped ? 0 : 1);
