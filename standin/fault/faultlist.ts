import type { Fault } from './fault.js';

/** Supplies the fault of each call to a stand-in, in the order of the calls. */
export interface FaultList {
  next(): Fault;
}
