import type { Dice } from './dice.js';
import type { Site } from './site.js';

/** Values that another writer may leave under a server's key or under another key of the list. */
const FOREIGN_VALUES: readonly string[] = [
  '{',
  '[]',
  '{"service":"engine"}',
  '{"service":"engine","address":7,"zone":"z1","state":"ready"}',
  '{"service":"engine","address":"127.0.0.1:1","zone":"z1","state":"resting"}',
  '{"service":"nobody","address":"127.0.0.1:1","zone":"z1","state":"ready","models":"m1"}',
];
/** Longest time until a foreign value is replaced or removed. */
const LONGEST_MS = 1000;

type Fault = (site: Site, dice: Dice) => string;

const restartServer: Fault = (site, dice) => {
  const { proxy, server } = dice.pick(site.active());
  server.restart();
  proxy.reset();
  site.serversDisturbedAtMs.push(performance.now());
  return server.id;
};

const foreignEntry: Fault = (site, dice) => {
  const listed = dice.pick(site.active());
  const isNewKey = dice.below(2) === 0;
  const key = isNewKey ? `foreign-${dice.below(5)}` : listed.server.id;
  const text = dice.pick(FOREIGN_VALUES);
  site.store.put(`servers/${key}`, text);
  site.serversDisturbedAtMs.push(performance.now());
  setTimeout(() => {
    if (isNewKey) site.store.remove(`servers/${key}`);
    else listed.server.onChange();
  }, dice.below(LONGEST_MS));
  return `${key} ${text}`;
};

/** Faults of the server list in the store, by name. */
export const serverListFaults: Readonly<Record<string, Fault>> = { restartServer, foreignEntry };
