/** Orders about models and adapters: who may give them, what is asked for, what is moved. */
export type { DemandAnswer } from './demandanswer.js';
export { DemandMeter } from './demandmeter.js';
export type { DemandReport } from './demandreport.js';
export type { FoundNeed } from './foundneed.js';
export { OrderDesk } from './orderdesk.js';
export type { NewsBatch } from './newsbatch.js';
export type { NewsMark } from './newsmark.js';
export { Peers } from './peers.js';
export { TurnKeeper } from './turnkeeper.js';
