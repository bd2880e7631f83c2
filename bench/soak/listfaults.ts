import type { Dice } from './dice.js';
import type { Site } from './site.js';

/** What another writer may leave under a server's key, or under one of its own. */
const FOREIGN: readonly string[] = [
  '{',
  '[]',
  '{"service":"engine"}',
  '{"service":"engine","address":7,"zone":"z1","state":"ready"}',
  '{"service":"engine","address":"127.0.0.1:1","zone":"z1","state":"resting"}',
  '{"service":"nobody","address":"127.0.0.1:1","zone":"z1","state":"ready","models":"m1"}',
];
/** A server writes its entry again within this. */
const LONGEST_MS = 1000;

type Fault = (site: Site, dice: Dice) => string;

const restartServer: Fault = (site, dice) => {
  const { proxy, server } = dice.pick(site.present());
  server.restart();
  proxy.reset();
  site.serversDisturbedAtMs.push(performance.now());
  return server.id;
};

const foreignEntry: Fault = (site, dice) => {
  const listed = dice.pick(site.present());
  const isOwnKey = dice.below(2) === 0;
  const key = isOwnKey ? `foreign-${dice.below(5)}` : listed.server.id;
  const text = dice.pick(FOREIGN);
  site.store.put(`servers/${key}`, text);
  site.serversDisturbedAtMs.push(performance.now());
  setTimeout(() => {
    if (isOwnKey) site.store.remove(`servers/${key}`);
    else listed.server.onChange();
  }, dice.below(LONGEST_MS));
  return `${key} ${text}`;
};

/** Faults of the list of servers, by name: seeds of before they were there go on without them. */
export const listFaults: Readonly<Record<string, Fault>> = { restartServer, foreignEntry };
