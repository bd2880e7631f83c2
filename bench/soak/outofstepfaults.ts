import type { Dice } from './dice.js';
import { faults } from './faults.js';
import type { ProxyMode } from './proxy.js';
import { releaseFaults } from './releasefaults.js';
import type { Site } from './site.js';

type Fault = (site: Site, dice: Dice) => string;

const MODES: readonly ProxyMode[] = ['silent', 'one-way', 'refuse', 'delay'];
const LONGEST_MS = 4000;
/** Longest time between the beginning of a cut and a release, whichever comes first. */
const RELEASE_WITHIN_MS = 3000;
const RECORD_EVERY_MS = 500;

function later(ms: number, act: () => void): void {
  setTimeout(act, ms);
}

/** Cuts one entry off from all others, in both directions; it reaches the store, the servers and its callers. */
function cutPeersOf(site: Site, at: number, mode: ProxyMode, ms: number): void {
  const { name } = site.entries[at]!;
  site.peerRelays.cut(name, mode);
  // The others lose a possible holder of the order lease, so what they promise is not judged meanwhile.
  const record = () => {
    for (const entry of site.entries) entry.recordDisturbance();
  };
  record();
  const recording = setInterval(record, RECORD_EVERY_MS);
  later(ms, () => {
    clearInterval(recording);
    site.peerRelays.heal(name);
    record();
  });
}

const cutEntries: Fault = (site, dice) => {
  const at = dice.below(site.entries.length);
  const mode = dice.pick(MODES);
  const ms = dice.below(LONGEST_MS);
  cutPeersOf(site, at, mode, ms);
  return `entry-${at} ${mode} for ${ms} ms`;
};

/** Cuts one entry off from the others and from the store. */
const isolate: Fault = (site, dice) => {
  const at = dice.below(site.entries.length);
  const mode = dice.pick(MODES);
  const ms = dice.below(LONGEST_MS);
  const proxy = site.storeProxies[at]!;
  cutPeersOf(site, at, mode, ms);
  proxy.mode = mode;
  site.storeDisturbedAtMs.push(performance.now());
  later(ms, () => {
    proxy.mode = 'pass';
    proxy.reset();
    site.storeDisturbedAtMs.push(performance.now());
  });
  return `entry-${at} ${mode} for ${ms} ms`;
};

const { freeze, cutStore } = faults;
const TROUBLES = { freeze: freeze!, cutStore: cutStore!, cutEntries, isolate };

/** Puts one entry out of step before, while or after engines of a new version join; streams of others break then. */
const outOfStepInRelease: Fault = (site, dice) => {
  const name = dice.pick(Object.keys(TROUBLES) as (keyof typeof TROUBLES)[]);
  const isBefore = dice.below(2) === 0;
  const release = dice.below(2) === 0 ? releaseFaults.release! : releaseFaults.releaseAll!;
  const [first, second] = isBefore ? [TROUBLES[name], release] : [release, TROUBLES[name]];
  const ms = dice.below(RELEASE_WITHIN_MS);
  const described = first(site, dice);
  later(ms, () => second(site, dice));
  const breakMs = ms + dice.below(LONGEST_MS);
  later(breakMs, () => releaseFaults.resetEngine!(site, dice));
  return `${name} ${isBefore ? 'before' : 'after'} a release: ${described}, ${ms} ms later the other`;
};

/** Faults that need proxies between the entries, and are only played where they are named. */
export const outOfStepFaults: Readonly<Record<string, Fault>> = {
  cutEntries,
  isolate,
  outOfStepInRelease,
};
