import type { ServerBehavior } from '../../standin/platform/index.js';
import type { Dice } from './dice.js';
import type { ProxyManner } from './proxy.js';
import type { Site } from './site.js';

const MANNERS: readonly ServerBehavior[] = [
  'full',
  'error',
  'reset',
  'silent',
  'other-id',
  'encoded',
  'unsigned',
  'cut',
  'unframed',
  'extra',
];
const STORE_MANNERS: readonly ProxyManner[] = ['delay', 'silent', 'one-way', 'refuse'];
const SERVER_MANNERS: readonly ProxyManner[] = ['delay', 'silent', 'refuse'];
const STORE_FAULTS = ['unavailable', 'refused', 'answer-lost', 'silent', 'rubbish'] as const;
const STORE_PATHS = ['/kv-watch', '/kv-range', '/kv-txn', '/kv-key'];
/** How long a cut or a freeze lasts: shorter and longer than a turn and a record's life. */
const LONGEST_MS = 4000;
const LATE_ORDER_MS = 1500;

function later(ms: number, act: () => void): void {
  setTimeout(act, ms);
}

/** One fault by its name; each may come while others last. */
type Fault = (site: Site, dice: Dice) => string;

const kill: Fault = ({ entries }, dice) => {
  const entry = dice.pick(entries);
  entry.end('SIGKILL');
  return entry.name;
};

const stop: Fault = ({ entries }, dice) => {
  const entry = dice.pick(entries);
  entry.end('SIGTERM');
  return entry.name;
};

const hangUp: Fault = ({ entries }, dice) => {
  const entry = dice.pick(entries);
  entry.hangUp();
  return entry.name;
};

const freeze: Fault = ({ entries }, dice) => {
  const entry = dice.pick(entries);
  entry.freeze();
  const ms = dice.below(LONGEST_MS);
  later(ms, () => entry.thaw());
  return `${entry.name} for ${ms} ms`;
};

const killAll: Fault = ({ entries }) => {
  for (const entry of entries) entry.end('SIGKILL');
  return 'all';
};

const cutStore: Fault = (site, dice) => {
  const at = dice.below(site.storeProxies.length);
  const proxy = site.storeProxies[at]!;
  proxy.manner = dice.pick(STORE_MANNERS);
  const ms = dice.below(LONGEST_MS);
  const mark = () => {
    site.entries[at]!.disturb();
    site.storeDisturbedAtMs.push(performance.now());
  };
  mark();
  later(ms, () => {
    proxy.manner = 'pass';
    proxy.reset();
    mark();
  });
  return `entry-${at} ${proxy.manner} for ${ms} ms`;
};

const storeFaults: Fault = (site, dice) => {
  const path = dice.pick(STORE_PATHS);
  const fault = dice.pick(STORE_FAULTS);
  site.store.faults.set(path, Array(1 + dice.below(4)).fill(fault));
  site.storeDisturbedAtMs.push(performance.now());
  return `${path} ${fault}`;
};

const compact: Fault = (site) => {
  site.store.compact();
  site.storeDisturbedAtMs.push(performance.now());
  return 'history';
};

const cutServer: Fault = (site, dice) => {
  const { proxy, server } = dice.pick(site.present());
  proxy.manner = dice.pick(SERVER_MANNERS);
  const ms = dice.below(LONGEST_MS / 2);
  site.serversDisturbedAtMs.push(performance.now());
  later(ms, () => {
    proxy.manner = 'pass';
    proxy.reset();
    site.serversDisturbedAtMs.push(performance.now());
  });
  return `${server.id} ${proxy.manner} for ${ms} ms`;
};

const resetServer: Fault = (site, dice) => {
  const { proxy, server } = dice.pick(site.present());
  proxy.reset();
  site.serversDisturbedAtMs.push(performance.now());
  return server.id;
};

const misbehave: Fault = (site, dice) => {
  const { server } = dice.pick(site.present());
  const manner = dice.pick(MANNERS);
  for (let at = 0; at <= dice.below(4); at += 1) server.behaviors.push(manner);
  return `${server.id} ${manner}`;
};

const silence: Fault = (site) => {
  for (const { server } of site.present()) server.behaviors.push('silent', 'silent');
  return 'all';
};

/** Work that takes a while is what a stop may cut. */
const slowDown: Fault = (site) => {
  for (const { server } of site.present()) server.behaviors.push(...Array<'slow'>(6).fill('slow'));
  return 'all';
};

const spoilOrder: Fault = (site, dice) => {
  const { server } = dice.pick(site.present());
  const isLate = dice.below(2) === 0;
  const ms = dice.below(LATE_ORDER_MS);
  server.orderFaults.push(isLate ? { type: 'late', ms } : { type: 'answer-lost' });
  return `${server.id} ${isLate ? `late ${ms} ms` : 'answer lost'}`;
};

const replaceServer: Fault = (site, dice) => {
  const old = dice.pick(site.present());
  void site.addServer(old.server.service, [...old.server.models.keys()]);
  site.drain(old);
  return old.server.id;
};

const configure: Fault = (site) => {
  site.accept();
  return `version ${site.version}`;
};

const configureOften: Fault = (site) => {
  for (let at = 0; at < 3; at += 1) later(at * 200, () => site.accept());
  return 'three versions';
};

/** All faults by name. */
export const faults: Readonly<Record<string, Fault>> = {
  kill,
  stop,
  hangUp,
  freeze,
  killAll,
  cutStore,
  storeFaults,
  compact,
  cutServer,
  resetServer,
  misbehave,
  silence,
  slowDown,
  spoilOrder,
  replaceServer,
  configure,
  configureOften,
};
