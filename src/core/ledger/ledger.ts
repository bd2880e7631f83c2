import type { Incarnation } from '../../base/index.js';
import type { EngineReport } from '../../port/index.js';
import type { Holding } from './holding.js';
import type { HoldingKey } from './holdingkey.js';
import type { OpenOrder } from './openorder.js';

/**
 * Accelerator memory of one upstream. Resident weights and adapters, reservations of open orders
 * and the reserve for the KV cache together never exceed the capacity.
 */
export interface Ledger {
  /** Total memory of all accelerators; 0 until the document is known. */
  readonly capacityBytes: number;
  /** Total memory in the engine's last report; 0 if its memory is not managed by orders. */
  readonly reportedBytes: number;
  /** Memory reserved for the KV cache in each role. */
  readonly kvCacheReserveBytes: Readonly<Record<EngineReport['role'], number>>;
  readonly role: EngineReport['role'];
  /** Engine process that the holdings belong to; undefined before the first report. */
  readonly engineId: string | undefined;
  /** Sequence of the last report of this engine process. */
  readonly sequence: number;
  /** Number of the poll that returned the last report. */
  readonly poll: number;
  readonly highestFencingToken: Incarnation;
  readonly holdings: ReadonlyMap<HoldingKey, Holding>;
  readonly openOrders: ReadonlyMap<string, OpenOrder>;
  /** Number of requests in flight that use each holding. */
  readonly pins: ReadonlyMap<HoldingKey, number>;
}
