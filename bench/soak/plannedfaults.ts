import type { Dice } from './dice.js';
import type { Site } from './site.js';

type Fault = (site: Site, dice: Dice) => string;

const LONGEST_OVERLAP_MS = 1500;
/** A start at a small part of a core takes seconds. */
const LONGEST_START_MS = 4000;
const SERIES_GAP_MS = 1200;

function later(ms: number, act: () => void): void {
  setTimeout(act, ms);
}

/** A second SIGTERM follows the first one, in the stop or in the next start. */
const stopTwice: Fault = ({ entries }, dice) => {
  const entry = dice.pick(entries);
  const ms = dice.below(LONGEST_OVERLAP_MS);
  entry.end('SIGTERM');
  later(ms, () => entry.end('SIGTERM'));
  return `${entry.name}, again after ${ms} ms`;
};

/** SIGHUP comes during a stop. */
const hangUpInStop: Fault = ({ entries }, dice) => {
  const entry = dice.pick(entries);
  const ms = dice.below(LONGEST_OVERLAP_MS);
  entry.end('SIGTERM');
  later(ms, () => entry.hangUp());
  return `${entry.name} after ${ms} ms`;
};

/** SIGHUP comes several times during the start that follows a stop. */
const hangUpInStart: Fault = ({ entries }, dice) => {
  const entry = dice.pick(entries);
  const times = Array.from({ length: 3 }, () => dice.below(LONGEST_START_MS));
  entry.end('SIGTERM');
  for (const ms of times) later(ms, () => entry.hangUp());
  return `${entry.name} after ${times.join()} ms`;
};

const hangUpAll: Fault = ({ entries }) => {
  for (const entry of entries) entry.hangUp();
  return 'all';
};

/** A new configuration comes during a stop. */
const configureInStop: Fault = (site, dice) => {
  const entry = dice.pick(site.entries);
  const ms = dice.below(LONGEST_OVERLAP_MS);
  entry.end('SIGTERM');
  later(ms, () => site.applyConfiguration());
  return `${entry.name} after ${ms} ms`;
};

/** Half of the entries are stopped, one shortly after the other. */
const stopInSeries: Fault = ({ entries }, dice) => {
  const first = dice.below(entries.length);
  const count = Math.ceil(entries.length / 2);
  for (let at = 0; at < count; at += 1) {
    const entry = entries[(first + at) % entries.length]!;
    later(at * SERIES_GAP_MS, () => entry.end('SIGTERM'));
  }
  return `${count} from ${entries[first]!.name} on`;
};

/** Planned work that overlaps other planned work, by name. */
export const plannedFaults: Readonly<Record<string, Fault>> = {
  stopTwice,
  hangUpInStop,
  hangUpInStart,
  hangUpAll,
  configureInStop,
  stopInSeries,
};
