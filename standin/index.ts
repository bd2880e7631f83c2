/** Stand-ins for what lies outside the system. Not shipped. */
export type { Curve } from './engine/curve.js';
export { defaultCurve } from './engine/defaultcurve.js';
export { FakeEngine } from './engine/fakeengine.js';
export { stepMs } from './engine/stepms.js';
export { MemoryStore } from './store/memorystore.js';
export type { StoreFaults } from './store/storefaults.js';
export { StoreServer } from './store/storeserver.js';
