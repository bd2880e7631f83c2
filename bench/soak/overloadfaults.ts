import type { ServerBehavior } from '../../standin/platform/index.js';
import type { Dice } from './dice.js';
import type { Site } from './site.js';

/** Injects a fault, also while others last, and returns a description of it. */
type Fault = (site: Site, dice: Dice) => string;

const LONGEST_ROW = 40;

function pushAll(site: Site, behavior: ServerBehavior, count: number): string {
  for (const { server } of site.active()) {
    server.behaviors.push(...Array<ServerBehavior>(count).fill(behavior));
  }
  site.serversDisturbedAtMs.push(performance.now());
  return `${count} at all servers`;
}

const shed: Fault = (site, dice) => pushAll(site, 'full', 1 + dice.below(LONGEST_ROW));

const failAll: Fault = (site, dice) => pushAll(site, 'error', 1 + dice.below(LONGEST_ROW));

/** Rows of refused or failed requests at all servers at once, by name. */
export const overloadFaults: Readonly<Record<string, Fault>> = { shed, failAll };
