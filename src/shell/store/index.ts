/** Drivers of the platform's key-value service. */
export { absentStore } from './absentstore.js';
export { Budget } from './budget.js';
export { createStore } from './createstore.js';
export { EtcdStore } from './etcdstore.js';
export { storeSchema } from './storeschema.js';
export type { StoreSettings } from './storesettings.js';
