import { deployments } from './deployments.js';
import { keep } from './keep.js';
import { addTallies } from './load/addtallies.js';
import { playScenario } from './scenario.js';

/** Each of these above zero is a broken promise. */
const BROKEN = ['lost', 'doubled', 'cut', 'falseNotRun', 'overcommits'] as const;

if (process.argv.includes('--keep')) {
  await keep();
  process.exit(0);
}
// An exit ends the children; a signal alone would leave them.
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1));
const [first, second] = deployments;
const played = await Promise.all([playScenario(first), playScenario(second)]);
const [{ exitCodes: firstCodes, ...firstTally }, { exitCodes: secondCodes, ...secondTally }] =
  played;
console.error(`${first.name}: ${JSON.stringify(firstTally)}`);
console.error(`${second.name}: ${JSON.stringify(secondTally)}`);
const { attained, accelerators, reasons, ...counts } = addTallies(firstTally, secondTally);
const exitCodes = [...firstCodes, ...secondCodes];
const attainmentPerAccelerator = attained / accelerators;
console.log(JSON.stringify({ ...counts, attainmentPerAccelerator, exitCodes }));
const kept = BROKEN.every((name) => counts[name] === 0);
const stopped = exitCodes.every((code) => code === 0);
process.exit(kept && stopped ? 0 : 1);
