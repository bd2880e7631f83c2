/** Orders to load and unload models and adapters: the lease to send them, demand, and moves. */
export type { DemandAnswer } from './demandanswer.js';
export { DemandMeter } from './demandmeter.js';
export type { DemandReport } from './demandreport.js';
export type { FindAnswer } from './findanswer.js';
export { OrderDispatcher } from './orderdispatcher.js';
export type { ResidencyUpdate } from './residencyupdate.js';
export type { ResidencyCursor } from './residencycursor.js';
export { Peers } from './peers.js';
export { OrderLeaseKeeper } from './orderleasekeeper.js';
