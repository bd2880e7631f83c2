import { countedCrashes } from './countedcrashes.js';
import type { Crash } from './crash.js';
import { partTrait } from './parttrait.js';
import { poisonRules } from './poisonrules.js';
import type { Suspect } from './suspect.js';
import type { Verdict } from './verdict.js';

/** Returns true if a request of the same content ran at both crashes: it may be the cause instead of a part of it. */
function shareContent(a: Crash, b: Crash): boolean {
  return a.companions.some(
    (trait) => partTrait.partOf(trait) === undefined && b.companions.includes(trait),
  );
}

/**
 * Groups crashes that may have one cause apart from the trait. Runs that are no trials may have been sent before any
 * crash was known, and their crashes may share a cause.
 */
function dependentCrashes(counted: readonly Crash[]): readonly (readonly Crash[])[] {
  const first = counted.filter(({ isTrial }) => !isTrial);
  const groups = first.length > 0 ? [first] : [];
  for (const crash of counted.filter(({ isTrial }) => isTrial)) {
    const group = groups.find((each) => each.some((other) => shareContent(other, crash)));
    if (group) group.push(crash);
    else groups.push([crash]);
  }
  return groups;
}

/** Returns the chances of the independent crashes: of each group the highest. */
function independentChances(counted: readonly Crash[]): readonly number[] {
  return dependentCrashes(counted).map((group) => Math.max(...group.map(({ chance }) => chance)));
}

/** Returns the verdict on a trait by its own crashes, whatever other traits were there. */
export function judge(suspect: Pick<Suspect, 'trait' | 'crashes'>): Verdict {
  const counted = countedCrashes(suspect);
  const chances = independentChances(counted);
  const isPart = partTrait.partOf(suspect.trait) !== undefined;
  const { minCrashes, sufficientCrashes } = isPart ? poisonRules.part : poisonRules.content;
  if (chances.length === 0) return 'sound';
  if (counted.length === 1 && counted[0]!.hasPriorProof) return 'sound';
  if (chances.length >= sufficientCrashes) return 'poison';
  if (chances.length < minCrashes) return 'suspect';
  const chance = chances.reduce((product, each) => product * each, 1);
  return chance <= poisonRules.maxProbability ? 'poison' : 'suspect';
}
