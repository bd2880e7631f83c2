import type { ModelId, ServiceId } from '../../base/index.js';
import type { ModelSpec } from './modelspec.js';

/** What the upstreams of an engine service have in common. */
interface EngineSpec {
  /** Accelerator memory for weights and adapters together. */
  readonly weightsMb: number;
  readonly adapterSlots: number;
  /** Loads from the weight store that may begin in a second, over all upstreams. */
  readonly loadsPerSecond: number;
  readonly models: ReadonlyMap<ModelId, ModelSpec>;
}

/** One service as the configuration describes it. */
export interface ServiceSpec {
  readonly id: ServiceId;
  /** Connections that one upstream accepts from all callers together. */
  readonly maxConnections: number;
  /** Absent for a plain service. */
  readonly engine?: EngineSpec;
}
