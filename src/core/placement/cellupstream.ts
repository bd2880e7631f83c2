import type { AdapterId, ModelId, UpstreamId } from '../../base/index.js';

/** An engine upstream of a cell, as its sidecar's record shows it. */
export interface CellUpstream {
  readonly id: UpstreamId;
  readonly availabilityZone: string;
  /** Memory for models and adapters: what its accelerators have, without the KV-cache reserve. */
  readonly capacityBytes: number;
  readonly slots: number;
  readonly role: 'mixed' | 'prefill' | 'decode';
  /** `leaving` ones are emptied; `lost` ones hold nothing that counts. */
  readonly state: 'usable' | 'leaving' | 'lost';
  readonly residents: readonly {
    readonly model: ModelId;
    readonly version: string;
    readonly phase: 'loading' | 'ready' | 'unloading';
    readonly adapters: readonly AdapterId[];
  }[];
}
