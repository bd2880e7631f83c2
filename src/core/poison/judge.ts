import { countedCrashes } from './countedcrashes.js';
import type { Crash } from './crash.js';
import { poisonRules } from './poisonrules.js';
import type { Suspect } from './suspect.js';
import type { Verdict } from './verdict.js';

/**
 * Returns the chances of the independent crashes. Crashes of runs that are no trials count as one, with the highest
 * of their chances: those runs may have been sent before any crash was known, and the crashes may share a cause.
 */
function independentChances(counted: readonly Crash[]): readonly number[] {
  const chances = (isTrial: boolean) =>
    counted.filter((crash) => crash.isTrial === isTrial).map(({ chance }) => chance);
  const first = chances(false);
  return first.length > 0 ? [Math.max(...first), ...chances(true)] : chances(true);
}

/** Returns the verdict on a request. It depends on the crashes alone, so all entries that know them agree. */
export function judge(suspect: Pick<Suspect, 'crashes'>): Verdict {
  const chances = independentChances(countedCrashes(suspect));
  const { minCrashes, sufficientCrashes, maxProbability } = poisonRules;
  if (chances.length === 0) return 'sound';
  if (chances.length >= sufficientCrashes) return 'poison';
  if (chances.length < minCrashes) return 'suspect';
  const chance = chances.reduce((product, each) => product * each, 1);
  return chance <= maxProbability ? 'poison' : 'suspect';
}
