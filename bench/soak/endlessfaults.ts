import { endlessKinds } from '../../standin/platform/index.js';
import type { Dice } from './dice.js';
import type { ListedServer, Site } from './site.js';

/** Injects a fault, also while others last, and returns a description of it. */
type Fault = (site: Site, dice: Dice) => string;

/** An answer that further ones follow is whole but not the expected one; the behavior `extra` stands for it. */
const KINDS = Object.entries(endlessKinds).filter(([kind]) => kind !== 'further answers');
const LEAST_MS = 300;
/** Longer than the deadline of a request, so that answers are cut by it. */
const RANGE_MS = 5000;

/** Makes servers send bytes without end to whatever they are asked, for a while. */
function sendEndlessly(serversOf: (site: Site, dice: Dice) => readonly ListedServer[]): Fault {
  return (site, dice) => {
    const servers = serversOf(site, dice).map(({ server }) => server);
    const [kind, endless] = dice.pick(KINDS);
    const ms = LEAST_MS + dice.below(RANGE_MS);
    for (const server of servers) server.endless = endless;
    setTimeout(() => {
      for (const entry of site.entries) entry.recordMemory();
      for (const server of servers) if (server.endless === endless) server.endless = undefined;
    }, ms);
    return `${servers.map(({ id }) => id).join(',')} ${kind} for ${ms} ms`;
  };
}

/** Servers whose answers have no end, by name. */
export const endlessFaults: Readonly<Record<string, Fault>> = {
  endless: sendEndlessly((site, dice) => [dice.pick(site.active())]),
  endlessAll: sendEndlessly((site) => site.active()),
};
