/** Stand-ins for external systems, for tests, benchmarks and the demo. Not shipped. */
export type { Curve } from './engine/curve.js';
export { defaultCurve } from './engine/defaultcurve.js';
export { expectedAnswer } from './engine/expectedanswer.js';
export { FakeEngine } from './engine/fakeengine.js';
export { stepMs } from './engine/stepms.js';
export { MemoryStore } from './store/memorystore.js';
export type { StoreFaults } from './store/storefaults.js';
export { StoreServer } from './store/storeserver.js';
export type { Fault } from './fault/fault.js';
export type { FaultList } from './fault/faultlist.js';
export { fixedFaults } from './fault/fixedfaults.js';
export { noFaults } from './fault/nofaults.js';
export { seededFaults } from './fault/seededfaults.js';
export { FakeWeightStore } from './weights/fakeweightstore.js';
export { FakeService } from './service/fakeservice.js';
export { FakeHostList } from './hosts/fakehostlist.js';
export { StoreModel } from './store/storemodel.js';
