/** Orders about models and adapters: who may give them, what is asked for, what is moved. */
export { DemandMeter } from './demandmeter.js';
export type { DemandReport } from './demandreport.js';
export type { FoundNeed } from './foundneed.js';
export { OrderDesk } from './orderdesk.js';
export { Peers } from './peers.js';
export { TurnKeeper } from './turnkeeper.js';
