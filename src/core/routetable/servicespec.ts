import type { ModelId, ServiceId } from '../../base/index.js';
import type { ModelSpec } from './modelspec.js';

/** Settings shared by all upstreams of an engine service. */
interface EngineSpec {
  /** Accelerator memory for weights and adapters. */
  readonly weightsMb: number;
  readonly adapterSlots: number;
  /** Loads from the weight store that may start per second, over all upstreams. */
  readonly loadsPerSecond: number;
  readonly models: ReadonlyMap<ModelId, ModelSpec>;
}

/** Configuration of one service. */
export interface ServiceSpec {
  readonly id: ServiceId;
  /** Maximum number of connections to one upstream. */
  readonly maxConnections: number;
  /** Absent for a plain service. */
  readonly engine?: EngineSpec;
}
