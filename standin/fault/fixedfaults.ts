import type { Fault } from './fault.js';
import type { FaultList } from './faultlist.js';

/** The given faults for the first calls, then none. */
export function fixedFaults(faults: readonly Fault[]): FaultList {
  let call = 0;
  return {
    next() {
      const fault = faults[call] ?? { type: 'none' };
      call += 1;
      return fault;
    },
  };
}
