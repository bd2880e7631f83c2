import type { FaultList } from './faultlist.js';

/** Injects no faults. */
export const noFaults: FaultList = { next: () => ({ type: 'none' }) };
