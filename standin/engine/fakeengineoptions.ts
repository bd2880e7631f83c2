import type { FaultList } from '../fault/faultlist.js';
import type { FakeWeightStore } from '../weights/fakeweightstore.js';
import type { EngineOptions } from './engineoptions.js';

/** Options of the stand-in engine; what is not given has the default that stands in brackets. */
export interface FakeEngineOptions extends Partial<EngineOptions> {
  readonly engineId?: string;
  /** A fixed time between tokens in place of the curve. */
  readonly tokenMs?: number;
  /** How much faster the engine's time runs than real time [1]. */
  readonly speed?: number;
  /** How old reports and cache events are, in real time [0]. */
  readonly reportLagMs?: number;
  /** Cache events out of a hundred that are never told [0]. */
  readonly lostCacheEventPercent?: number;
  /** Where weights come from [a store of its own, at the curve's speed]. */
  readonly weightStore?: FakeWeightStore;
  /** What goes wrong with generations, and with orders [nothing]. */
  readonly faults?: FaultList;
  readonly orderFaults?: FaultList;
  /** Models in memory from the start [none]. */
  readonly residents?: readonly {
    readonly model: string;
    readonly version?: string;
    readonly sizeBytes: number;
  }[];
}
