import type { ServerBehavior } from '../../standin/platform/index.js';
import type { Dice } from './dice.js';
import type { ProxyMode } from './proxy.js';
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
const STORE_MODES: readonly ProxyMode[] = ['delay', 'silent', 'one-way', 'refuse'];
const SERVER_MODES: readonly ProxyMode[] = ['delay', 'silent', 'refuse'];
const STORE_FAULTS = ['unavailable', 'refused', 'answer-lost', 'silent', 'rubbish'] as const;
const STORE_PATHS = ['/kv-watch', '/kv-range', '/kv-txn', '/kv-key'];
/** Longest cut or freeze. Durations fall below and above the order lease and the lifetime of records. */
const LONGEST_MS = 4000;
const LATE_ORDER_MS = 1500;

function later(ms: number, act: () => void): void {
  setTimeout(act, ms);
}

/** Injects a fault, also while others last, and returns a description of it. */
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
  proxy.mode = dice.pick(STORE_MODES);
  const ms = dice.below(LONGEST_MS);
  const recordDisturbance = () => {
    site.entries[at]!.recordDisturbance();
    site.storeDisturbedAtMs.push(performance.now());
  };
  recordDisturbance();
  later(ms, () => {
    proxy.mode = 'pass';
    proxy.reset();
    recordDisturbance();
  });
  return `entry-${at} ${proxy.mode} for ${ms} ms`;
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
  const { proxy, server } = dice.pick(site.active());
  proxy.mode = dice.pick(SERVER_MODES);
  const ms = dice.below(LONGEST_MS / 2);
  site.serversDisturbedAtMs.push(performance.now());
  later(ms, () => {
    proxy.mode = 'pass';
    proxy.reset();
    site.serversDisturbedAtMs.push(performance.now());
  });
  return `${server.id} ${proxy.mode} for ${ms} ms`;
};

const resetServer: Fault = (site, dice) => {
  const { proxy, server } = dice.pick(site.active());
  proxy.reset();
  site.serversDisturbedAtMs.push(performance.now());
  return server.id;
};

const misbehave: Fault = (site, dice) => {
  const { server } = dice.pick(site.active());
  const behavior = dice.pick(MANNERS);
  for (let at = 0; at <= dice.below(4); at += 1) server.behaviors.push(behavior);
  return `${server.id} ${behavior}`;
};

const silence: Fault = (site) => {
  for (const { server } of site.active()) server.behaviors.push('silent', 'silent');
  return 'all';
};

/** Slow requests are those that a stop could cut. */
const slowDown: Fault = (site) => {
  for (const { server } of site.active()) server.behaviors.push(...Array<'slow'>(6).fill('slow'));
  return 'all';
};

const spoilOrder: Fault = (site, dice) => {
  const { server } = dice.pick(site.active());
  const isLate = dice.below(2) === 0;
  const ms = dice.below(LATE_ORDER_MS);
  server.orderFaults.push(isLate ? { type: 'late', ms } : { type: 'answer-lost' });
  return `${server.id} ${isLate ? `late ${ms} ms` : 'answer lost'}`;
};

const replaceServer: Fault = (site, dice) => {
  const old = dice.pick(site.active());
  void site.addServer(old.server.service, [...old.server.models.keys()]);
  site.drain(old);
  return old.server.id;
};

const configure: Fault = (site) => {
  site.applyConfiguration();
  return `version ${site.version}`;
};

const configureOften: Fault = (site) => {
  for (let at = 0; at < 3; at += 1) later(at * 200, () => site.applyConfiguration());
  return 'three versions';
};

/** Faults that seeds of all ranges include, by name. */
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
