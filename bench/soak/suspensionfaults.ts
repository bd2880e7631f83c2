import type { Dice } from './dice.js';
import type { Site } from './site.js';

/** Long enough for another entry to take the order lease and give orders meanwhile. */
const SUSPENSION = { leastMs: 1000, spreadMs: 5000 };

type Fault = (site: Site, dice: Dice) => string;

const suspend: Fault = ({ entries }, dice) => {
  const entry = dice.pick(entries);
  entry.freeze();
  const ms = SUSPENSION.leastMs + dice.below(SUSPENSION.spreadMs);
  setTimeout(() => entry.thaw(), ms);
  return `${entry.name} for ${ms} ms`;
};

/** Faults that suspend the host of an entry, by name. */
export const suspensionFaults: Readonly<Record<string, Fault>> = { suspend };
