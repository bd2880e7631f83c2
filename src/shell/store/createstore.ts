import { randomInt } from 'node:crypto';
import type { Clock } from '../../base/index.js';
import type { KeyValueStore, Metrics } from '../../port/index.js';
import { absentStore } from './absentstore.js';
import { EtcdStore } from './etcdstore.js';
import type { StoreSettings } from './storesettings.js';

const SEED_LIMIT = 2 ** 31;

/** Creates the driver for the settings. Without settings, returns one that fails every call. */
export function createStore(
  settings: StoreSettings | null | undefined,
  clock: Clock,
  metrics?: Metrics,
): KeyValueStore {
  if (!settings) return absentStore;
  return new EtcdStore({ ...settings, clock, metrics, seed: randomInt(SEED_LIMIT) });
}
