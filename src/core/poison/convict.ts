import type { TraitId } from '../../base/index.js';
import type { Conviction } from './conviction.js';
import { countedCrashes } from './countedcrashes.js';
import type { Crash } from './crash.js';
import { judge } from './judge.js';
import type { Suspect } from './suspect.js';
import { unexplainedCrashes } from './unexplainedcrashes.js';

/** Looks a suspect up by its trait. */
type Find = (trait: TraitId) => Suspect | undefined;

/** A suspect with enough evidence, apart from what its crashes share with those of others. */
interface Candidate {
  readonly suspect: Suspect;
  readonly crashes: readonly Crash[];
}

function chanceOf(crashes: readonly Crash[]): number {
  return crashes.reduce((product, { chance }) => product * chance, 1);
}

function hasRunWell({ crashes }: Candidate): boolean {
  return crashes.some(({ hasPriorProof }) => hasPriorProof);
}

/**
 * Returns true if the first candidate never ran well and the second did, or else if it explains more crashes, or the
 * same number with less probability of chance. Several deadly parts may share a part that was sound.
 */
function isStronger(a: Candidate, b: Candidate): boolean {
  if (hasRunWell(a) !== hasRunWell(b)) return hasRunWell(b);
  if (a.crashes.length !== b.crashes.length) return a.crashes.length > b.crashes.length;
  const [chanceA, chanceB] = [chanceOf(a.crashes), chanceOf(b.crashes)];
  if (chanceA !== chanceB) return chanceA < chanceB;
  return a.suspect.trait < b.suspect.trait;
}

function strongest(suspects: readonly Suspect[], known: readonly Conviction[]) {
  let best: Candidate | undefined;
  for (const suspect of suspects) {
    const candidate = { suspect, crashes: unexplainedCrashes(suspect, known) };
    const { trait } = suspect;
    if (judge({ trait, crashes: candidate.crashes }) !== 'poison') continue;
    if (!best || isStronger(candidate, best)) best = candidate;
  }
  return best;
}

/** Returns the companions that were there at each of the crashes and that no run has cleared of any of them. */
function indistinguishable({ crashes }: Candidate, find: Find): readonly TraitId[] {
  const [first, ...rest] = crashes;
  const always = first!.companions.filter((trait) =>
    rest.every(({ companions }) => companions.includes(trait)),
  );
  return always.filter((trait) => {
    const suspect = find(trait);
    const own = new Set((suspect ? countedCrashes(suspect) : []).map(({ upstream }) => upstream));
    return crashes.every(({ upstream }) => own.has(upstream));
  });
}

/**
 * Finds the causes of crashes among suspects, as in group testing: the trait that explains most crashes is convicted
 * first, and what it explains no longer counts against others that were there. The result depends on the evidence
 * alone, so all entries that know the same agree.
 */
export function convict(suspects: readonly Suspect[], find: Find): readonly Conviction[] {
  const convictions: Conviction[] = [];
  let best = strongest(suspects, convictions);
  while (best) {
    const traits = new Set([best.suspect.trait, ...indistinguishable(best, find)]);
    convictions.push({ traits, upstreams: new Set(best.crashes.map(({ upstream }) => upstream)) });
    best = strongest(suspects, convictions);
  }
  return convictions;
}
