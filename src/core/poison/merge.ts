import type { Crash } from './crash.js';
import type { CrashState } from './crashstate.js';
import type { Suspect } from './suspect.js';

const RANKS: Readonly<Record<CrashState, number>> = { open: 0, explained: 1, ended: 2, cleared: 3 };

function intersect<Item>(a: readonly Item[], b: readonly Item[]): readonly Item[] {
  return a.filter((item) => b.includes(item));
}

/** Returns the smaller of two software versions; undefined, which stands for an unknown one, is smaller than any. */
function lower(a: string | undefined, b: string | undefined): string | undefined {
  if (a === undefined || b === undefined) return undefined;
  return a <= b ? a : b;
}

function mergeCrash(mine: Crash | undefined, theirs: Crash): Crash {
  if (!mine) return theirs;
  // Two runs with the trait were on the same upstream when it crashed: the shorter one is the stronger evidence.
  const runMs = Math.min(mine.runMs, theirs.runMs);
  const chance = Math.min(mine.chance, theirs.chance);
  const hasPriorProof = mine.hasPriorProof || theirs.hasPriorProof;
  const isTrial = mine.isTrial || theirs.isTrial;
  const state = RANKS[mine.state] >= RANKS[theirs.state] ? mine.state : theirs.state;
  const companions = intersect(mine.companions, theirs.companions);
  const softwareVersion = lower(mine.softwareVersion, theirs.softwareVersion);
  const isMine =
    runMs === mine.runMs &&
    chance === mine.chance &&
    isTrial === mine.isTrial &&
    hasPriorProof === mine.hasPriorProof &&
    state === mine.state &&
    softwareVersion === mine.softwareVersion &&
    companions.length === mine.companions.length;
  if (isMine) return mine;
  const merged = { ...mine, runMs, chance, isTrial, hasPriorProof, state };
  return { ...merged, softwareVersion, companions };
}

/**
 * Merges what two entries know of one trait. The merge is commutative, associative and idempotent, so entries may
 * exchange records in any order and repeatedly. Returns `mine` itself if `theirs` adds nothing.
 */
export function merge(mine: Suspect | undefined, theirs: Suspect): Suspect {
  if (!mine) return theirs;
  const crashes = new Map(mine.crashes.map((crash) => [crash.upstream, crash]));
  let isNew = theirs.sinceWallMs < mine.sinceWallMs;
  for (const crash of theirs.crashes) {
    const known = crashes.get(crash.upstream);
    const merged = mergeCrash(known, crash);
    if (merged !== known) isNew = true;
    crashes.set(crash.upstream, merged);
  }
  if (!isNew) return mine;
  const sinceWallMs = Math.min(mine.sinceWallMs, theirs.sinceWallMs);
  const sorted = [...crashes.values()].sort((a, b) => (a.upstream < b.upstream ? -1 : 1));
  return { ...mine, sinceWallMs, crashes: sorted };
}
