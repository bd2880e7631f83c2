import type { Dice } from './dice.js';
import type { Site } from './site.js';

/** Long enough for another entry to take the right to give orders meanwhile, and to use it. */
const SUSPENSION = { leastMs: 1000, spreadMs: 5000 };

type Fault = (site: Site, dice: Dice) => string;

const suspend: Fault = ({ entries }, dice) => {
  const entry = dice.pick(entries);
  entry.freeze();
  const ms = SUSPENSION.leastMs + dice.below(SUSPENSION.spreadMs);
  setTimeout(() => entry.thaw(), ms);
  return `${entry.name} for ${ms} ms`;
};

/** Faults of hosts that can be suspended, by name. */
export const hostFaults: Readonly<Record<string, Fault>> = { suspend };
