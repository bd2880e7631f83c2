import type { Crash } from './crash.js';
import type { CrashState } from './crashstate.js';
import type { Suspect } from './suspect.js';

const RANKS: Readonly<Record<CrashState, number>> = { open: 0, explained: 1, ended: 2, cleared: 3 };

function mergeCrash(mine: Crash | undefined, theirs: Crash): Crash {
  if (!mine) return theirs;
  // Two runs of the request were on the same upstream when it crashed: the shorter one is the stronger evidence.
  const runMs = Math.min(mine.runMs, theirs.runMs);
  const chance = Math.min(mine.chance, theirs.chance);
  const isTrial = mine.isTrial || theirs.isTrial;
  const state = RANKS[mine.state] >= RANKS[theirs.state] ? mine.state : theirs.state;
  const isMine =
    runMs === mine.runMs &&
    chance === mine.chance &&
    isTrial === mine.isTrial &&
    state === mine.state;
  return isMine ? mine : { ...mine, runMs, chance, isTrial, state };
}

/**
 * Merges what two entries know of one request. The merge is commutative, associative and idempotent, so entries may
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
