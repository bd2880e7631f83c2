import type { Dice } from './dice.js';
import type { Site } from './site.js';

/** Fields of a server's record. */
const RECORD = {
  service: 'engine',
  address: '127.0.0.1:1',
  zone: 'z1',
  version: 'v1',
  slots: 4,
  state: 'ready',
  cold_remaining_ms: 0,
  seq: 1,
};

/** Values that another writer may leave under a server's key or under another key of the list. */
const FOREIGN_VALUES: readonly string[] = [
  '{',
  '[]',
  '{"service":"engine"}',
  ...[
    { address: 7 },
    { address: '127.0.0.1:81450' },
    { address: 'http://127.0.0.1:1/' },
    { state: 'resting' },
    { service: 'nobody', models: 'm1' },
    { slots: -1 },
    { version: undefined },
    { cold_remaining_ms: undefined },
    { seq: undefined },
  ].map((wrong) => JSON.stringify({ ...RECORD, ...wrong })),
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
