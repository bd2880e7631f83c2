import type { Incarnation } from '../../base/index.js';
import type { Ledger } from './ledger.js';

/** The ledger before the first report. Its capacity is 0, so nothing fits. */
export const emptyLedger: Ledger = {
  capacityBytes: 0,
  reportedBytes: 0,
  kvCacheReserveBytes: { mixed: 0, prefill: 0, decode: 0 },
  role: 'mixed',
  engineId: undefined,
  sequence: 0,
  poll: 0,
  highestFencingToken: 0 as Incarnation,
  holdings: new Map(),
  openOrders: new Map(),
  pins: new Map(),
};
