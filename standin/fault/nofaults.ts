import type { FaultList } from './faultlist.js';

/** Nothing goes wrong. */
export const noFaults: FaultList = { next: () => ({ type: 'none' }) };
