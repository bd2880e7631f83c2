import type { FaultList } from '../fault/faultlist.js';
import type { FakeWeightStore } from '../weights/fakeweightstore.js';
import type { EngineOptions } from './engineoptions.js';

/** Options of the stand-in engine, with defaults in brackets. */
export interface FakeEngineOptions extends Partial<EngineOptions> {
  readonly engineId?: string;
  /** Fixed time between tokens, used instead of the curve; prefill then takes no time. */
  readonly tokenMs?: number;
  /** Speed of engine time relative to real time [1]. */
  readonly speed?: number;
  /** Age of reports and cache events, in real time [0]. */
  readonly reportLagMs?: number;
  /** Percentage of cache events that are never reported [0]. */
  readonly lostCacheEventPercent?: number;
  /** Store that weights are loaded from [none: loads run at the speed of the curve]. */
  readonly weightStore?: FakeWeightStore;
  /** Faults of generations [none]. */
  readonly faults?: FaultList;
  /** Faults of orders [none]. */
  readonly orderFaults?: FaultList;
  /** Models that are loaded at the start [none]. */
  readonly residents?: readonly {
    readonly model: string;
    readonly version?: string;
    readonly sizeBytes: number;
  }[];
}
