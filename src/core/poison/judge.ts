import { countedCrashes } from './countedcrashes.js';
import type { Crash } from './crash.js';
import { poisonRules } from './poisonrules.js';
import type { Suspect } from './suspect.js';
import type { Verdict } from './verdict.js';

/**
 * Independent ends, by their chance. Those of runs that were sent before any end was known count as one, by the
 * most probable of them: they may have come together.
 */
function independentChances(counted: readonly Crash[]): readonly number[] {
  const chances = (isTrial: boolean) =>
    counted.filter((crash) => crash.isTrial === isTrial).map(({ chance }) => chance);
  const first = chances(false);
  return first.length > 0 ? [Math.max(...first), ...chances(true)] : chances(true);
}

/** The verdict follows from the crashes alone, so that all entries that know of them agree. */
export function judge(suspect: Pick<Suspect, 'crashes'>): Verdict {
  const chances = independentChances(countedCrashes(suspect));
  const { leastCrashes, mostCrashes, mostChance } = poisonRules;
  if (chances.length === 0) return 'sound';
  if (chances.length >= mostCrashes) return 'poison';
  if (chances.length < leastCrashes) return 'suspect';
  const chance = chances.reduce((product, each) => product * each, 1);
  return chance <= mostChance ? 'poison' : 'suspect';
}
