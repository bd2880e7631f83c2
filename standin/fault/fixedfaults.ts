import type { Fault } from './fault.js';
import type { FaultList } from './faultlist.js';

/** Injects the given faults into the first calls and none into later ones. */
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
