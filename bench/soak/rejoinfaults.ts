import { faults } from './faults.js';
import { releaseFaults } from './releasefaults.js';
import type { Dice } from './dice.js';
import type { Site } from './site.js';

type Fault = (site: Site, dice: Dice) => string;

/** Longest time between the kill and the release, whichever comes first. */
const LONGEST_MS = 600;

/** Kills all entries at once, with a release shortly before it, or while they are down. */
const killAllInRelease: Fault = (site, dice) => {
  const release = dice.below(2) === 0 ? releaseFaults.release! : releaseFaults.releaseAll!;
  const kill = faults.killAll!;
  const [first, second] = dice.below(2) === 0 ? [release, kill] : [kill, release];
  const ms = dice.below(LONGEST_MS);
  const described = first(site, dice);
  setTimeout(() => second(site, dice), ms);
  return `${described}, ${ms} ms later the other`;
};

/** Faults that are only played where they are named. */
export const rejoinFaults: Readonly<Record<string, Fault>> = { killAllInRelease };
