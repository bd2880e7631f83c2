import { countedCrashes } from './countedcrashes.js';
import { poisonRules } from './poisonrules.js';
import type { Suspect } from './suspect.js';
import type { Verdict } from './verdict.js';

/** The verdict follows from the crashes alone, so that all entries that know of them agree. */
export function judge(suspect: Pick<Suspect, 'crashes'>): Verdict {
  const counted = countedCrashes(suspect);
  const { leastCrashes, mostCrashes, mostChance } = poisonRules;
  if (counted.length === 0) return 'sound';
  if (counted.length >= mostCrashes) return 'poison';
  if (counted.length < leastCrashes) return 'suspect';
  const chance = counted.reduce((product, crash) => product * crash.chance, 1);
  return chance <= mostChance ? 'poison' : 'suspect';
}
