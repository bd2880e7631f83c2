/** Drivers of the platform's key-value store. */
export { absentStore } from './absentstore.js';
export { TokenBucket } from './tokenbucket.js';
export { createStore } from './createstore.js';
export { EtcdStore } from './etcdstore.js';
export { storeSchema } from './storeschema.js';
export type { StoreSettings } from './storesettings.js';
